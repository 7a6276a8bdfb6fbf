/** Baseline retries: a fixed number of attempts at every hop. */
import { isRetryable } from "./is_retryable.ts";
import type { FailedAttempt, RetryPolicy } from "./retry_policy.ts";

/** Retries every retryable failure while attempts are left. */
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
    return isRetryable(failed) && failed.attemptsLeftCount > 0 &&
      failed.remainingMs > 0;
  }
}
