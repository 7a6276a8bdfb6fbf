/** Bound on the bodies that are forwarded while they are received. */
import type { CallerMemory } from "./caller_memory.ts";

/**
 * Part of the bound that streamed bodies may take. They cannot be refused once
 * they are forwarded, so the rest is left to bodies that can.
 */
const STREAMED_RATIO = 0.25;
/**
 * Bytes that a streamed body takes at most: those that wait for its reader, and
 * one read each in the queue of its stream and of both connections.
 */
const STREAMED_BYTES = 262_144;

/** Account of the bodies that are forwarded while they are received. */
export class StreamedBodies {
  readonly #memory: CallerMemory;
  #count = 0;

  /**
   * @param memory Account of the bytes that are held for callers.
   */
  constructor(memory: CallerMemory) {
    this.#memory = memory;
  }

  /**
   * Admits a body, which {@link end} must end. One alone is always admitted.
   *
   * @returns False when the body should be refused.
   */
  admit(): boolean {
    const neededBytes = (this.#count + 1) * STREAMED_BYTES;
    const isShort = this.#memory.isFull ||
      neededBytes > this.#memory.maxBytes * STREAMED_RATIO;
    if (this.#count > 0 && isShort) {
      return false;
    }
    this.#count++;
    this.#memory.hold(STREAMED_BYTES);
    return true;
  }

  /** Releases the bytes of a body that was admitted. */
  end(): void {
    this.#count--;
    this.#memory.release(STREAMED_BYTES);
  }
}
