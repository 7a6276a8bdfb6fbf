/** Tells orderly closes of connections to the upstream from resets. */
import type { Socket } from "node:net";
import process from "node:process";
import type { buildConnector } from "undici";

/** An empty line, which HTTP servers ignore between requests. */
const PROBE_BYTES = "\r\n";

/**
 * Distinguishes an orderly close of a connection by the upstream from a reset.
 * Answers without a length are complete only after an orderly close.
 */
export class CloseDetector {
  /** Number of open exchanges whose answer has no length. */
  closeDelimitedCount = 0;
  /**
   * Whether the close of the connection whose `end` handlers are running was
   * orderly; false at any other time.
   */
  isOrderlyClose = false;

  /**
   * Wraps a connector so that the end of each connection is handled here before
   * undici handles it.
   *
   * @param connector Connector of undici.
   * @returns The wrapped connector.
   */
  wrapConnector(connector: buildConnector.connector): buildConnector.connector {
    return (options, callback) =>
      connector(options, (...result) => {
        const [, socket] = result;
        socket?.prependListener("end", () => this.#onEnd(socket));
        callback(...result);
      });
  }

  /**
   * Checks whether the close was orderly. libuv reports a reset that arrives
   * directly after data as an orderly end, but a write to a reset connection
   * fails immediately.
   */
  #onEnd(socket: Socket): void {
    if (this.closeDelimitedCount === 0) {
      return;
    }
    socket.write(PROBE_BYTES);
    this.isOrderlyClose = socket.errored === null;
    process.nextTick(() => {
      this.isOrderlyClose = false;
    });
  }
}
