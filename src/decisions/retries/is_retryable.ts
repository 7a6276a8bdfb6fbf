/** Decides whether a failed attempt can be retried safely. */
import type { FailedAttempt } from "./retry_policy.ts";

/**
 * Returns whether a failed attempt can be retried without the risk that a
 * non-idempotent request runs twice.
 *
 * @param failed Failed attempt.
 * @returns True for idempotent requests and for the outcome `not-run`.
 *
 * @example
 * isRetryable({ ...failed, idempotent: false, outcome: "unknown" }); // false
 */
export function isRetryable(failed: FailedAttempt): boolean {
  return failed.outcome === "not-run" || failed.idempotent;
}
