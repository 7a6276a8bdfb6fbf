/** Tells whether the peer of a connection has left. */
import type { Socket } from "node:net";

/**
 * Returns whether the client of an HTTP server has closed its connection, also
 * while the server still has to close its own side. A client that only ends its
 * sending side has left, too: the server closes the connection then.
 *
 * @param socket Connection of the client.
 * @returns True from the moment at which its end has been read.
 */
export function hasLeft({ readableEnded, destroyed }: Socket): boolean {
  return readableEnded || destroyed;
}
