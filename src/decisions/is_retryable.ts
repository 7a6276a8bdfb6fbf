/** Decides whether a failed attempt can be repeated safely. */
import type { FailedAttempt } from "./retry_policy.ts";

/**
 * Returns whether a failed attempt can be repeated without the risk that a
 * non-idempotent request runs twice.
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
