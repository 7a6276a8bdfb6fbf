/** Safety of repeating an attempt. */
import type { FailedAttempt } from "./retry_policy.ts";

/**
 * Tells whether repeating a failed attempt cannot run a non-idempotent request
 * twice.
 *
 * @param failed Failed attempt.
 * @returns True for idempotent requests and for a proved `not-run`.
 *
 * @example
 * isRepeatable({ ...failed, idempotent: false, outcome: "unknown" }); // false
 */
export function isRepeatable(failed: FailedAttempt): boolean {
  return failed.outcome === "not-run" || failed.idempotent;
}
