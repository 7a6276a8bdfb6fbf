/** Bounds how many bytes of a connection are parsed at once. */
import type { Socket } from "node:net";

/**
 * The HTTP client parses what it has read to its end, also after an error, and
 * makes an error for each trailer beyond its limit: 5,000 in 64 KB.
 */
const SLICE_MAX_BYTES = 8_192;

/**
 * Makes the reads of a socket without a size return a bounded number of bytes. A
 * reader that reads until there is nothing left, as the HTTP client does, gets
 * the rest with its next reads, unless it has destroyed the socket.
 *
 * @param socket Socket whose reader asks for all that has arrived.
 */
export function readInSlices(socket: Socket): void {
  const read = socket.read.bind(socket);
  socket.read = (size = socket.readableLength) => {
    if (socket.destroyed) {
      return null;
    }
    const bytes = Math.min(size, SLICE_MAX_BYTES);
    return bytes === 0 ? read() : read(bytes);
  };
}
