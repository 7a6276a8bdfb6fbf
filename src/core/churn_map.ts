/** Map for entries that live as long as one request. */

// Removed keys are kept until there are this many.
const REMOVED_MAX_COUNT = 1_024;

/**
 * Map whose entries are added and removed at a high rate.
 *
 * A `Map` of V8 allocates a new table every few insertions when entries are
 * removed as fast as they are added. Each old table points to its successor and
 * still holds the entries of its time. One old table in the old generation thus
 * keeps all later entries alive until the next full collection. In the hop
 * benchmark this moved 3.9 kB of each call to the old generation and cost 10 µs
 * of garbage collection a call. This map only marks entries as removed and
 * starts a new `Map` from time to time.
 *
 * Keys are kept for a while after their removal and must be small values.
 *
 * @example
 * const running = new ChurnMap<number, Exchange>();
 * running.set(ticket, exchange);
 * running.delete(ticket);
 */
export class ChurnMap<K extends string | number, V extends object> {
  #entries = new Map<K, V | undefined>();
  #size = 0;

  /** Entries that are present. */
  get size(): number {
    return this.#size;
  }

  /**
   * Looks an entry up.
   *
   * @param key Key of the entry.
   * @returns The value; undefined when there is none.
   */
  get(key: K): V | undefined {
    return this.#entries.get(key);
  }

  /**
   * Adds or replaces an entry.
   *
   * @param key Key of the entry.
   * @param value Value of the entry.
   */
  set(key: K, value: V): void {
    if (this.#entries.get(key) === undefined) {
      this.#size++;
    }
    this.#entries.set(key, value);
  }

  /**
   * Removes an entry.
   *
   * @param key Key of the entry.
   * @returns True when there was one.
   */
  delete(key: K): boolean {
    if (this.#entries.get(key) === undefined) {
      return false;
    }
    this.#size--;
    this.#entries.set(key, undefined);
    if (this.#entries.size - this.#size > REMOVED_MAX_COUNT) {
      this.#entries = new Map(this.#listEntries());
    }
    return true;
  }

  /**
   * Lists the values in the order in which their keys were first added.
   *
   * @returns Values that are present.
   */
  values(): V[] {
    return this.#listEntries().map(([, value]) => value);
  }

  #listEntries(): [K, V][] {
    return [...this.#entries].filter((entry): entry is [K, V] =>
      entry[1] !== undefined
    );
  }
}
