/** Charges of admitted requests, and their ends. */
import type { OpenCharge } from "./held_charges.ts";
import type { TenantTokens } from "./tenant_tokens.ts";
import type { UsedToken } from "./token_stock.ts";

/**
 * Asks for the start of a request.
 *
 * @param markStarted Called with the monotonic time of the start, in ms, once it is
 *   known; with undefined when the upstream has not run the request after all.
 */
export type QueryStart = (
  markStarted: (startedAtMs: number | undefined) => void,
) => void;

/**
 * Ends a request.
 *
 * @param startedAtMs Latest monotonic time at which an upstream has started it, in
 *   ms; undefined when it has certainly not run.
 * @param endedAtMs Monotonic time, in ms.
 */
export type EndUsage = (
  startedAtMs: number | undefined,
  endedAtMs: number,
) => void;

/**
 * Charges an admitted request to its tenant.
 *
 * @param tenant Tenant of the request.
 * @param token Token that the request uses.
 * @param request Monotonic time at which the request has arrived, in ms, and the
 *   function that asks for its start.
 * @returns Function to call once when the request ends. It takes the token back
 *   when the request has certainly not run.
 */
export function chargeRequest(
  { held, stock }: TenantTokens,
  token: UsedToken,
  { nowMs, queryStart }: { nowMs: number; queryStart: QueryStart },
): EndUsage {
  const charge: OpenCharge = held.charge(
    nowMs,
    () => queryStart(charge.markStarted),
  );
  return (startedAtMs, endedAtMs) => {
    charge.end(startedAtMs ?? nowMs);
    if (startedAtMs === undefined) {
      stock.takeBack(token, endedAtMs);
    }
  };
}
