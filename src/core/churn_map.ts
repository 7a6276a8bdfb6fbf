/** Map for many short-lived entries, for example one per open request. */

const REMOVED_MAX_COUNT = 1_024;

/** Options of {@link ChurnMap}. */
export type ChurnMapOptions = {
  /**
   * With more removed keys than this, the underlying map is rebuilt; 1,024 by
   * default. Its table then takes about 50 kB, which is too much for a map per
   * connection.
   */
  removedMaxCount?: number;
};

/**
 * Map whose entries are added and removed at a high rate.
 *
 * A `Map` of V8 allocates a new table every few insertions when entries are
 * removed as fast as they are added. Each old table references its successor
 * and the entries that it held. One old table in the old generation thus
 * retains all later entries until the next full collection. In the hop
 * benchmark this promoted 3.9 kB per call to the old generation and cost 10 µs
 * of garbage collection per call. This map only marks entries as removed and
 * is rebuilt when many keys are marked.
 *
 * Removed keys are retained until the next rebuild, so keys must be small.
 *
 * @example
 * const running = new ChurnMap<number, Exchange>();
 * running.set(exchangeId, exchange);
 * running.delete(exchangeId);
 */
export class ChurnMap<K extends string | number, V extends object> {
  readonly #removedMaxCount: number;
  #entries = new Map<K, V | undefined>();
  #size = 0;

  /**
   * @param options Number of removed keys that are retained.
   */
  constructor({ removedMaxCount = REMOVED_MAX_COUNT }: ChurnMapOptions = {}) {
    this.#removedMaxCount = removedMaxCount;
  }

  /** Number of entries. */
  get size(): number {
    return this.#size;
  }

  /**
   * Looks up an entry.
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
   * @returns True when the entry existed.
   */
  delete(key: K): boolean {
    if (this.#entries.get(key) === undefined) {
      return false;
    }
    this.#size--;
    this.#entries.set(key, undefined);
    if (this.#entries.size - this.#size > this.#removedMaxCount) {
      this.#entries = new Map(this.#listEntries());
    }
    return true;
  }

  /** Removes all entries. */
  clear(): void {
    this.#entries = new Map();
    this.#size = 0;
  }

  /**
   * Lists the values in insertion order. A key that is removed and, before the
   * underlying map is rebuilt, added again keeps its position.
   *
   * @returns Values of all entries.
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
