/** From when a daemon that has started leases its shares. */

/** Members that a daemon knows. */
export type KnownMembers = {
  /** Number of members among which a cap is divided, including this daemon. */
  readonly count: number;
  /**
   * Whether the store has told this daemon all members since its start. Its own
   * record is among them, so no member that was stored before it is missing.
   */
  readonly isComplete: boolean;
  /** Whether the store had no record of this daemon before its start. */
  readonly isNew: boolean;
};

/**
 * Time after the start in which no share is leased. The leases of the former
 * process have ended until then, and the links are up.
 */
const START_DELAY_MS = 1_500;
/**
 * Time after a new member knows the complete list. The other daemons have learned
 * of it until then, although the store tells them of changes some seconds late.
 */
const JOIN_DELAY_MS = 3_000;
/**
 * Time after the start at which a daemon leases although the store has not told
 * it the members. Until then it has asked several peers for the members that they
 * know, and divides by the largest number that it or a daemon that leases to the
 * same owner knows.
 */
const UNTOLD_MAX_MS = 10_000;

/**
 * Delays the leases of a daemon that has just started. If each daemon leased the
 * share that follows from the few members that it knows, the shares of all
 * daemons would add up to more than the cap.
 */
export class LeaseStart {
  readonly #startedAtMs: number;
  #completeAtMs = Infinity;
  #hasBegun = false;

  /**
   * @param startedAtMs Monotonic time of the start of the process, in ms.
   */
  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  /**
   * Returns whether shares may be leased. Once true, it remains true.
   *
   * @param members Members that the daemon knows.
   * @param nowMs Monotonic time, in ms.
   */
  mayLease({ isComplete, isNew }: KnownMembers, nowMs: number): boolean {
    if (isComplete && this.#completeAtMs === Infinity) {
      this.#completeAtMs = nowMs;
    }
    const completeFromMs = this.#completeAtMs + (isNew ? JOIN_DELAY_MS : 0);
    const fromMs = Math.min(completeFromMs, this.#startedAtMs + UNTOLD_MAX_MS);
    this.#hasBegun ||= nowMs >=
      Math.max(fromMs, this.#startedAtMs + START_DELAY_MS);
    return this.#hasBegun;
  }
}
