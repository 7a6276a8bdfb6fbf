/** Large bodies that wait until the peer has room for them. */

/**
 * Time after which a body is sent without an answer, in ms. Daemons of earlier
 * versions do not answer.
 */
const ANSWER_WAIT_MS = 300;

/** A body that waits. */
type WaitingBody = {
  readonly send: () => void;
  readonly timer: NodeJS.Timeout;
};

/** Holds the requests with large bodies back until the peer has reserved room. */
export class BodyReservations {
  readonly #waiting = new Map<number, WaitingBody>();

  /**
   * Adds a request for whose body room is asked for.
   *
   * @param exchangeId Number of the exchange.
   * @param send Sends the request.
   */
  add(exchangeId: number, send: () => void): void {
    const timer = setTimeout(() => this.grant(exchangeId), ANSWER_WAIT_MS);
    this.#waiting.set(exchangeId, { send, timer });
  }

  /**
   * Sends a request that waits.
   *
   * @param exchangeId Number of the exchange; nothing happens for another one.
   */
  grant(exchangeId: number): void {
    const body = this.#waiting.get(exchangeId);
    this.remove(exchangeId);
    body?.send();
  }

  /**
   * Removes a request, which is not sent any more.
   *
   * @param exchangeId Number of the exchange.
   * @returns Whether the request was waiting.
   */
  remove(exchangeId: number): boolean {
    clearTimeout(this.#waiting.get(exchangeId)?.timer);
    return this.#waiting.delete(exchangeId);
  }

  /**
   * Removes all requests.
   *
   * @returns Numbers of their exchanges.
   */
  clear(): number[] {
    const exchangeIds = [...this.#waiting.keys()];
    exchangeIds.forEach((exchangeId) => this.remove(exchangeId));
    return exchangeIds;
  }
}
