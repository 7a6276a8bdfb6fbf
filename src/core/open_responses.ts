/** Responses of an HTTP server that are not complete, by connection. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Tracks the open responses of each connection.
 *
 * - Bytes that are no request must not be answered while there is one: the client
 *   would take the answer for that of an earlier request, which may be running.
 * - When a connection closes, Node.js emits `close` only on the response of its
 *   oldest open request. The others emit it here, so that all are cancelled.
 */
export class OpenResponses {
  /**
   * Lists, not sets: a connection has few open responses, and a set whose entry
   * is replaced by each request costs garbage collection, as a map does (see
   * `ChurnMap`).
   */
  readonly #bySocket = new WeakMap<Socket, ServerResponse[]>();

  /**
   * Tracks a response until it is complete or its connection has closed.
   *
   * @param response Response of a request that has been received.
   * @param socket Connection of the request.
   */
  track(response: ServerResponse, socket: Socket): void {
    const open = this.#bySocket.get(socket) ?? this.#startTracking(socket);
    open.push(response);
    response.once("close", () => open.splice(open.indexOf(response), 1));
  }

  /**
   * Returns the number of open responses.
   *
   * @param socket Connection.
   * @returns Number of requests on it that wait for a complete answer.
   */
  countOf(socket: Socket): number {
    return this.#bySocket.get(socket)?.length ?? 0;
  }

  /**
   * Returns the response that is being written.
   *
   * @param socket Connection.
   * @returns Response of its oldest open request; undefined without one.
   */
  oldestOf(socket: Socket): ServerResponse | undefined {
    return this.#bySocket.get(socket)?.[0];
  }

  /**
   * Handles bytes that are no request: closes their connection, or has them
   * answered if no response on it is open.
   *
   * @param socket Connection.
   * @param answer Answers them and closes the connection.
   */
  handleParserError(socket: Socket, answer: () => void): void {
    if (this.countOf(socket) > 0) {
      socket.destroy();
      return;
    }
    answer();
  }

  #startTracking(socket: Socket): ServerResponse[] {
    const open: ServerResponse[] = [];
    this.#bySocket.set(socket, open);
    socket.once("close", () => {
      // Node.js handles the same event for the oldest one.
      queueMicrotask(() =>
        [...open].forEach((response) => response.emit("close"))
      );
    });
    return open;
  }
}
