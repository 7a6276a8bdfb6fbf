/** Baseline retries: a fixed number of attempts at every hop. */
import { isRepeatable } from "./is_repeatable.ts";
import type { FailedAttempt, RetryPolicy } from "./retry_policy.ts";

/** Repeats every repeatable failure while attempts are left. */
export class PerHopRetries implements RetryPolicy {
  /** @inheritdoc */
  recordOriginal(_pool: string, _nowMs: number): void {
    // The baseline keeps no counts.
  }

  /** @inheritdoc */
  recordRepeated(_pool: string, _nowMs: number): void {
    // The baseline keeps no counts.
  }

  /** @inheritdoc */
  mayRetry(failed: FailedAttempt, _nowMs: number): boolean {
    return isRepeatable(failed) && failed.attemptsLeftCount > 0 &&
      failed.remainingMs > 0;
  }
}
