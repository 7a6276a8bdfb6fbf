/** Assigns observers to members by their neighbours on several hash rings. */
import { hash32 } from "../core/hash.ts";

/**
 * Number of rings, and therefore of observers of each member. If the four
 * observers were neighbours on a single ring, a flood would take (members / 4)
 * hops; rings with independent orders form a graph whose diameter grows
 * logarithmically.
 */
export const OBSERVERS_COUNT = 4;

type RingEntry = { readonly hash: number; readonly id: string };

function compareEntries(a: RingEntry, b: RingEntry): number {
  if (a.hash !== b.hash) {
    return a.hash - b.hash;
  }
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0;
}

/** Returns the index of the first entry that is not before the given one. */
function lowerBound(ring: readonly RingEntry[], entry: RingEntry): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (compareEntries(ring[middle] as RingEntry, entry) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/**
 * Hash rings over the live members of a data centre. In each ring, the observer
 * of a member is its first successor that does not already observe it in an
 * earlier ring.
 *
 * @example
 * rings.add("log-1");
 * rings.observersOf("log-1"); // up to four other members
 */
export class ObserverRings {
  readonly #rings: RingEntry[][] = Array.from(
    { length: OBSERVERS_COUNT },
    () => [],
  );
  readonly #ids = new Set<string>();
  #version = 0;

  /** Number that increases with each change of the members. */
  get version(): number {
    return this.#version;
  }

  /** Number of members. */
  get size(): number {
    return this.#ids.size;
  }

  /** Whether a member is in the rings. */
  has(id: string): boolean {
    return this.#ids.has(id);
  }

  /** Adds a member; does nothing when it is present. */
  add(id: string): void {
    if (this.#ids.has(id)) {
      return;
    }
    this.#ids.add(id);
    this.#version++;
    this.#rings.forEach((ring, index) => {
      const entry = { hash: hash32(id, index), id };
      ring.splice(lowerBound(ring, entry), 0, entry);
    });
  }

  /** Removes a member; does nothing when it is absent. */
  remove(id: string): void {
    if (!this.#ids.delete(id)) {
      return;
    }
    this.#version++;
    this.#rings.forEach((ring, index) => {
      ring.splice(lowerBound(ring, { hash: hash32(id, index), id }), 1);
    });
  }

  /**
   * Lists the observers of a member.
   *
   * @param id Instance id; need not be in the rings.
   * @returns At most {@link OBSERVERS_COUNT} other members.
   */
  observersOf(id: string): string[] {
    const observers: string[] = [];
    this.#rings.forEach((ring, index) => {
      const start = lowerBound(ring, { hash: hash32(id, index), id });
      for (let step = 0; step < ring.length; step++) {
        const entry = ring[(start + step) % ring.length] as RingEntry;
        if (entry.id !== id && !observers.includes(entry.id)) {
          observers.push(entry.id);
          return;
        }
      }
    });
    return observers;
  }

  /**
   * Lists the members that a member observes.
   *
   * @param id Instance id of the observer.
   * @returns Other members, each once.
   */
  observedBy(id: string): string[] {
    return [...this.#listPredecessors(id)]
      .filter((candidate) => this.observersOf(candidate).includes(id));
  }

  /**
   * Lists the members that a member may observe: in each ring, as many
   * predecessors as there are rings. A member that is further away cannot have
   * skipped enough successors, since it skips only those that already observe
   * it by an earlier ring.
   */
  #listPredecessors(id: string): Set<string> {
    const candidates = new Set<string>();
    this.#rings.forEach((ring, index) => {
      const start = lowerBound(ring, { hash: hash32(id, index), id });
      const stepsCount = Math.min(OBSERVERS_COUNT, ring.length - 1);
      for (let step = 1; step <= stepsCount; step++) {
        const position = (start - step + ring.length) % ring.length;
        candidates.add((ring[position] as RingEntry).id);
      }
    });
    candidates.delete(id);
    return candidates;
  }
}
