/** Decisions about leases as pure functions. */
import type { LeaseRecord, LeaseToken } from "../schemas/platform_schema.ts";

/** Longest time that a lease is used without renewal, in ms. */
export const LEASE_LENGTH_MS = 15_000;
/** Time between renewals, in ms. */
export const LEASE_RENEWAL_MS = 5_000;
// A candidate waits this much longer than the lease's length, because the
// monotonic clocks of two machines may run at slightly different rates.
const LAPSE_MARGIN_MS = 500;

/** A lease record as one candidate observed it. */
export type ObservedLease = {
  readonly record: LeaseRecord;
  readonly version: number;
  /** Monotonic time at which the candidate first saw this version, in ms. */
  readonly firstSeenMs: number;
};

/** Action of a candidate: create the record, take the lease over, or wait. */
export type AcquireDecision = "create" | "take" | "wait";

/**
 * Compares two tokens by holder and counter.
 *
 * @param a First token.
 * @param b Second token.
 * @returns True when both belong to the same write.
 */
export function isSameToken(a: LeaseToken, b: LeaseToken): boolean {
  return isSameHolder(a, b) && a.counter === b.counter;
}

function isSameHolder(a: LeaseToken, b: LeaseToken): boolean {
  return a.instanceId === b.instanceId &&
    a.incarnationEpochMs === b.incarnationEpochMs;
}

/**
 * Records when a version of a lease record was first seen.
 *
 * @param before Earlier observation.
 * @param seen Record that was just read.
 * @param nowMs Monotonic time before the read was sent, in ms.
 * @returns Observation; the earlier one when the version is unchanged.
 */
export function observeLease(
  before: ObservedLease | undefined,
  seen: Pick<ObservedLease, "record" | "version">,
  nowMs: number,
): ObservedLease {
  return before?.version === seen.version
    ? before
    : { ...seen, firstSeenMs: nowMs };
}

/**
 * Computes when a candidate may regard a lease as lapsed unless it is renewed.
 *
 * @param observed Record and when it was first seen.
 * @returns Monotonic time in ms.
 */
export function lapseTimeMs(observed: ObservedLease): number {
  return observed.firstSeenMs + observed.record.lengthMs + LAPSE_MARGIN_MS;
}

/**
 * Decides whether a candidate may write the lease. Wall clocks are not compared:
 * a lease has lapsed when its version has not changed for its length and a
 * margin since the candidate first saw it.
 *
 * @param observed Record and when it was first seen; undefined when none exists.
 * @param own Token of the candidate.
 * @param nowMs Monotonic time in ms.
 * @returns Whether to create the record, replace it, or wait.
 */
export function decideAcquire(
  observed: ObservedLease | undefined,
  own: LeaseToken,
  nowMs: number,
): AcquireDecision {
  if (observed === undefined) {
    return "create";
  }
  const { record } = observed;
  const isFree = record.released || isSameHolder(record.token, own) ||
    nowMs >= lapseTimeMs(observed);
  return isFree ? "take" : "wait";
}
