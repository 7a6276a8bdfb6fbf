/** Bounds how many bytes of a connection are parsed at once. */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/**
 * The HTTP client parses what it has read to its end, also after an error, and
 * makes an error for each trailer beyond its limit: 5,000 in 64 KB.
 */
const SLICE_MAX_BYTES = 8_192;

/**
 * Makes the reads of a socket without a size return a bounded number of bytes. A
 * reader that reads until there is nothing left, as the HTTP client does, gets
 * the rest with its next reads, unless it has destroyed the socket.
 */
function boundReads(socket: Socket): void {
  const read = socket.read.bind(socket);
  socket.read = (size = socket.readableLength) => {
    if (socket.destroyed) {
      return null;
    }
    const bytes = Math.min(size, SLICE_MAX_BYTES);
    return bytes === 0 ? read() : read(bytes);
  };
}

/**
 * Wraps a connector so that its connections are read in slices.
 *
 * @param connector Connector of undici.
 * @returns The wrapped connector.
 */
export function readInSlices(
  connector: buildConnector.connector,
): buildConnector.connector {
  return (options, callback) =>
    connector(options, (...result) => {
      // Without a connection the socket is undefined, although typed as null.
      const [, socket] = result;
      if (socket) {
        boundReads(socket);
      }
      callback(...result);
    });
}
