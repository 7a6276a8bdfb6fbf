/** Pure rules of leases. */
import type { LeaseRecord, LeaseToken } from "../schemas/platform_schema.ts";

/** Longest time that a lease is used without renewal, in ms. */
export const LEASE_LENGTH_MS = 15_000;
/** Time between renewals, in ms. */
export const LEASE_RENEWAL_MS = 5_000;
// Monotonic clocks of two machines may run at slightly different rates.
const LAPSE_MARGIN_MS = 500;

/** A lease record as one candidate observed it. */
export type ObservedLease = {
  readonly record: LeaseRecord;
  readonly version: number;
  /** Monotonic time at which the candidate first saw this version, in ms. */
  readonly firstSeenMs: number;
};

/** What a candidate does with a lease. */
export type AcquireDecision = "create" | "take" | "wait";

/**
 * Compares two tokens.
 *
 * @param a First token.
 * @param b Second token.
 * @returns True when both name the same write.
 */
export function isSameToken(a: LeaseToken, b: LeaseToken): boolean {
  return isSameHolder(a, b) && a.counter === b.counter;
}

function isSameHolder(a: LeaseToken, b: LeaseToken): boolean {
  return a.instanceId === b.instanceId &&
    a.incarnationEpochMs === b.incarnationEpochMs;
}

/**
 * Remembers since when a version of the record has been seen.
 *
 * @param before Earlier observation.
 * @param seen Record that was read now.
 * @param nowMs Monotonic time before the read was sent, in ms.
 * @returns The observation; an unchanged version keeps its time.
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
 * Computes when a lease lapses for a candidate unless it is renewed.
 *
 * @param observed Record with the time of its first sight.
 * @returns Monotonic time in ms.
 */
export function lapseTimeMs(observed: ObservedLease): number {
  return observed.firstSeenMs + observed.record.lengthMs + LAPSE_MARGIN_MS;
}

/**
 * Decides whether a candidate may write the lease. No wall clock is compared:
 * a lease has lapsed when its version has not changed for its whole length
 * since the candidate first saw it.
 *
 * @param observed Record with the time of its first sight; undefined when none exists.
 * @param own Token of the candidate.
 * @param nowMs Monotonic time in ms.
 * @returns Create the record, replace it, or wait.
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
