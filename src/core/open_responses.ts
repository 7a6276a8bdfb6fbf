/** Responses of an HTTP server that are not complete, by connection. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Counts the open responses of each connection. Bytes that are no request must
 * not be answered while there is one: the client would take the answer for that
 * of an earlier request, which may be running.
 */
export class OpenResponses {
  readonly #counts = new WeakMap<Socket, number>();

  /**
   * Counts a response until it is complete or its connection has closed.
   *
   * @param response Response of a request that has been received.
   * @param socket Connection of the request.
   */
  track(response: ServerResponse, socket: Socket): void {
    this.#counts.set(socket, this.countOf(socket) + 1);
    response.once("close", () => {
      this.#counts.set(socket, this.countOf(socket) - 1);
    });
  }

  /**
   * Returns the number of open responses.
   *
   * @param socket Connection.
   * @returns Number of requests on it that wait for a complete answer.
   */
  countOf(socket: Socket): number {
    return this.#counts.get(socket) ?? 0;
  }
}
