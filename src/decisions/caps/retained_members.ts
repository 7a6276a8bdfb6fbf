/** Number of members among which a cap is divided. */
import type { CapMember } from "./owner_choice.ts";

/**
 * Time for which a forgotten member counts. Members are forgotten after 10 minutes
 * without a link, and a partition may last longer; each side would then have the
 * whole cap.
 */
const RETENTION_MS = 24 * 3_600_000;
/**
 * Time before a member is forgotten in which a new member of its data centre counts
 * as its replacement. It covers the time in which both run, and the 10 minutes
 * until the former one is forgotten.
 */
const REPLACEMENT_MAX_MS = 3_600_000;
/**
 * Time after the first complete list in which members are not new, but seen for the
 * first time.
 */
const FIRST_SEEN_MS = 60_000;

type Change = { readonly dataCentre: string; readonly atMs: number };

/**
 * Counts the known members, and those that were forgotten within a day and not
 * replaced by a new member of the same data centre.
 */
export class RetainedMembers {
  #completeAtMs = Infinity;
  #known: ReadonlyMap<string, string> = new Map();
  readonly #forgotten = new Map<string, Change>();
  /** New members that have replaced none. */
  readonly #joined = new Map<string, Change>();

  /**
   * Applies a change of the known members.
   *
   * @param members All known members, including this daemon.
   * @param nowMs Monotonic time, in ms.
   * @param list Whether the store has told all members since the start. Members
   *   that are known before that may have joined long ago.
   */
  update(
    members: Iterable<CapMember>,
    nowMs: number,
    { isComplete }: { isComplete: boolean },
  ): void {
    if (isComplete) {
      this.#completeAtMs = Math.min(this.#completeAtMs, nowMs);
    }
    const last = this.#known;
    const known = new Map<string, string>();
    for (const { name, dataCentre } of members) {
      known.set(name, dataCentre);
      if (!last.has(name)) {
        this.#add(name, dataCentre, nowMs);
      }
    }
    this.#known = known;
    for (const [name, dataCentre] of last) {
      if (!known.has(name)) {
        this.#forget(name, dataCentre, nowMs);
      }
    }
  }

  /**
   * Returns the number of members, at least 1.
   *
   * @param nowMs Monotonic time, in ms.
   */
  count(nowMs: number): number {
    this.#expire(nowMs);
    return Math.max(1, this.#known.size + this.#forgotten.size);
  }

  #add(name: string, dataCentre: string, nowMs: number): void {
    if (
      this.#forgotten.delete(name) ||
      removeFirst(this.#forgotten, dataCentre)
    ) {
      return;
    }
    if (nowMs - this.#completeAtMs >= FIRST_SEEN_MS) {
      this.#joined.set(name, { dataCentre, atMs: nowMs });
    }
  }

  #forget(name: string, dataCentre: string, nowMs: number): void {
    this.#expire(nowMs);
    this.#joined.delete(name);
    if (!removeFirst(this.#joined, dataCentre)) {
      this.#forgotten.set(name, { dataCentre, atMs: nowMs });
    }
  }

  #expire(nowMs: number): void {
    removeBefore(this.#forgotten, nowMs - RETENTION_MS);
    removeBefore(this.#joined, nowMs - REPLACEMENT_MAX_MS);
  }
}

/** Removes the first change in a data centre. Returns whether there was one. */
function removeFirst(
  changes: Map<string, Change>,
  dataCentre: string,
): boolean {
  for (const [name, change] of changes) {
    if (change.dataCentre === dataCentre) {
      return changes.delete(name);
    }
  }
  return false;
}

/** Removes old changes. They are in the order of their times. */
function removeBefore(changes: Map<string, Change>, beforeMs: number): void {
  for (const [name, { atMs }] of changes) {
    if (atMs >= beforeMs) {
      return;
    }
    changes.delete(name);
  }
}
