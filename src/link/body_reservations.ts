/** Large bodies that wait until the peer has room for them. */

/** Holds the requests with large bodies back until the peer has reserved room. */
export class BodyReservations {
  readonly #waiting = new Map<number, () => void>();

  /**
   * Adds a request for whose body room is asked for.
   *
   * @param exchangeId Number of the exchange.
   * @param send Sends the request.
   */
  add(exchangeId: number, send: () => void): void {
    this.#waiting.set(exchangeId, send);
  }

  /**
   * Sends a request that waits.
   *
   * @param exchangeId Number of the exchange; nothing happens for another one.
   */
  grant(exchangeId: number): void {
    const send = this.#waiting.get(exchangeId);
    this.remove(exchangeId);
    send?.();
  }

  /**
   * Removes a request, which is not sent any more.
   *
   * @param exchangeId Number of the exchange.
   */
  remove(exchangeId: number): void {
    this.#waiting.delete(exchangeId);
  }

  /**
   * Removes all requests.
   *
   * @returns Numbers of their exchanges.
   */
  clear(): number[] {
    const exchangeIds = [...this.#waiting.keys()];
    this.#waiting.clear();
    return exchangeIds;
  }
}
