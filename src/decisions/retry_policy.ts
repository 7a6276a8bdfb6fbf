/** Interface of the decision to repeat a failed attempt. */
import type { Outcome } from "../errors/error_kinds.ts";

/** What the decision knows of a failed attempt. */
export type FailedAttempt = {
  readonly pool: string;
  /** Attempts that the request still has along the whole chain. */
  readonly attemptsLeftCount: number;
  /** Whether the attempt is proved not to have run. */
  readonly outcome: Outcome;
  readonly idempotent: boolean;
  /** Whether a hop further down has used up the retries. */
  readonly exhausted: boolean;
  /** Whether the attempt was refused because of overload. */
  readonly overloaded: boolean;
  /** Time that the deadline leaves, in ms. */
  readonly remainingMs: number;
  /**
   * Whether the attempt made calls further down, which a retry would repeat.
   * Absent means that it is not known, as after a broken connection.
   */
  readonly calledFurther?: boolean;
};

/** Bounds retries. */
export interface RetryPolicy {
  /**
   * Records the first send of a request that no hop nearer the caller has
   * repeated, at monotonic time `nowMs`.
   */
  recordOriginal(pool: string, nowMs: number): void;
  /**
   * Records the first send of a request that a hop nearer the caller repeats:
   * one that arrived with fewer attempts left than the route grants.
   */
  recordRepeated(pool: string, nowMs: number): void;
  /** Decides on a retry and, when it is allowed, charges the budget. */
  mayRetry(failed: FailedAttempt, nowMs: number): boolean;
}
