/** Memory of the frames that a peer sends on one link. */

/**
 * Counts the bytes of an incomplete frame and those that are reserved for bodies.
 * A body that arrives takes the place of its reservation.
 */
export class FrameMemory {
  readonly #onChange: (changeBytes: number) => void;
  readonly #reservations = new Map<number, number>();
  #reservedBytes = 0;
  #incompleteBytes = 0;
  #heldBytes = 0;

  /**
   * @param onChange Called when the bytes that are held change, by how many.
   */
  constructor(onChange: (changeBytes: number) => void) {
    this.#onChange = onChange;
  }

  /**
   * Counts bytes of the incomplete frame.
   *
   * @param changeBytes Change of their number.
   */
  changeIncomplete(changeBytes: number): void {
    this.#incompleteBytes += changeBytes;
    this.#update();
  }

  /**
   * Reserves room for the body of a request that will be sent.
   *
   * @param exchangeId Number of the exchange.
   * @param bodyBytes Size of the body.
   */
  reserve(exchangeId: number, bodyBytes: number): void {
    this.#reservations.set(exchangeId, bodyBytes);
    this.#reservedBytes += bodyBytes;
    this.#update();
  }

  /**
   * Ends the reservation for a request that has arrived or is cancelled.
   *
   * @param exchangeId Number of the exchange; nothing happens without one.
   */
  release(exchangeId: number): void {
    this.#reservedBytes -= this.#reservations.get(exchangeId) ?? 0;
    this.#reservations.delete(exchangeId);
    this.#update();
  }

  /** Ends all reservations. */
  clear(): void {
    this.#reservations.clear();
    this.#reservedBytes = 0;
    this.#update();
  }

  #update(): void {
    const heldBytes = Math.max(this.#incompleteBytes, this.#reservedBytes);
    const changeBytes = heldBytes - this.#heldBytes;
    if (changeBytes !== 0) {
      this.#heldBytes = heldBytes;
      this.#onChange(changeBytes);
    }
  }
}
