/** Interface of the decision to retry a failed attempt. */
import type { Outcome } from "../../errors/error_kinds.ts";

/** Properties of a failed attempt on which the decision depends. */
export type FailedAttempt = {
  readonly pool: string;
  /** Attempts that the request has left along the whole call chain. */
  readonly attemptsLeftCount: number;
  /** Whether the attempt has run, as far as it is known. */
  readonly outcome: Outcome;
  readonly idempotent: boolean;
  /** Whether a downstream hop has used up the retries of the request. */
  readonly exhausted: boolean;
  /** Whether the attempt was refused because of overload. */
  readonly overloaded: boolean;
  /** Time until the deadline, in ms. */
  readonly remainingMs: number;
  /**
   * Whether the attempt made downstream calls, which a retry would repeat.
   * Absent when it is not known, for example after a broken connection.
   */
  readonly calledFurther?: boolean;
};

/** Decides on retries and bounds their number. */
export interface RetryPolicy {
  /**
   * Records the first send of a request that no hop nearer the caller has
   * retried, at monotonic time `nowMs`.
   */
  recordOriginal(pool: string, nowMs: number): void;
  /**
   * Records the first send of a request that a hop nearer the caller retries:
   * one that arrived with fewer attempts left than the route grants.
   */
  recordRepeated(pool: string, nowMs: number): void;
  /** Decides on a retry and, when it is allowed, charges the budget. */
  mayRetry(failed: FailedAttempt, nowMs: number): boolean;
}
