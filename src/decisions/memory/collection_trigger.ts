/** Decides when the garbage of request bodies is collected early. */

/**
 * Part of the memory of the machine from which on it is collected. V8 begins a
 * collection by itself only when about 64 MB of buffers have been allocated
 * since the last one, which is more than a small machine has left.
 */
const MEMORY_RATIO = 0.8;
/** Bytes of ended bodies after which the memory is looked at. */
const CHECKED_BYTES = 2_097_152;
/**
 * Least time between two collections, in ms. One takes 20 to 40 ms, in which
 * nothing else runs.
 */
const INTERVAL_MIN_MS = 100;

/** Parts of a process that {@link CollectionTrigger} uses. */
export type CollectionTriggerOptions = {
  /** Memory that the process may use. */
  memoryMaxBytes: number;
  /** Reads the memory that the process uses, in bytes. */
  usedBytes: () => number;
  /** Collects garbage. */
  collect: () => void;
};

/**
 * Collects garbage early while memory is short and bodies end.
 *
 * @example
 * const trigger = new CollectionTrigger(options);
 * trigger.endBody(reception.receivedBytes, nowMs);
 */
export class CollectionTrigger {
  readonly #options: CollectionTriggerOptions;
  #endedBytes = 0;
  #collectedAtMs = -Infinity;

  /**
   * @param options Memory of the machine and of the process.
   */
  constructor(options: CollectionTriggerOptions) {
    this.#options = options;
  }

  /**
   * Records a body whose bytes are not held any more.
   *
   * @param bytes Bytes that had arrived.
   * @param nowMs Monotonic time, in ms.
   */
  endBody(bytes: number, nowMs: number): void {
    this.#endedBytes += bytes;
    if (
      this.#endedBytes < CHECKED_BYTES ||
      nowMs - this.#collectedAtMs < INTERVAL_MIN_MS
    ) {
      return;
    }
    this.#endedBytes = 0;
    const { memoryMaxBytes, usedBytes, collect } = this.#options;
    if (usedBytes() >= memoryMaxBytes * MEMORY_RATIO) {
      collect();
      this.#collectedAtMs = nowMs;
    }
  }
}
