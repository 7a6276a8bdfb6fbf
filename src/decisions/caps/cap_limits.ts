/** Constants and derived bounds of the usage caps of tenants. */

/** Usage cap of one tenant over all daemons. */
export type UsageCap = {
  readonly ratePerS: number;
  readonly burstCount: number;
  /** Sliding window over which the cap applies, in ms. */
  readonly windowMs: number;
};

/**
 * Tokens of a bucket beyond the burst. A tenant with a cap of one request per
 * second and a burst of one would otherwise lose requests that arrive at random
 * below its cap. It is half of the 20 requests by which the cap may be exceeded.
 */
const DEPTH_EXTRA_COUNT = 10;
/**
 * Time after the ask in which a granted token may be used, as a part of the
 * window. A token that is used in one window may have been granted this long
 * before it, so it must be below the tenth by which the cap may be exceeded.
 */
const TOKEN_LIFETIME_RATIO = 0.08;
/**
 * Time whose tokens may be prefetched within the lifetime of a token, as a part
 * of the window. They may all be used in one instant.
 */
const PREFETCH_RATIO = 0.06;
const MS_PER_S = 1_000;
/** Time for which a member's share counts at an owner after it was received. */
export const LEASE_MS = 1_000;
/** Interval at which a member renews its leases. */
export const LEASE_RENEWAL_MS = 400;
/**
 * Time that a member adds to the end of its lease before it gives its share to
 * another owner: the transit of the lease and the control interval of the owner.
 */
export const LEASE_GUARD_MS = 300;
/** Longest time that a request waits for a token. */
export const WAIT_MAX_MS = 100;

/**
 * Computes the depth of the bucket that all owners of a tenant have together.
 *
 * @param cap Cap of the tenant.
 * @returns Tokens, at least 1.
 *
 * @example
 * bucketDepth({ ratePerS: 1, burstCount: 2 }); // 12
 */
export function bucketDepth({ burstCount }: UsageCap): number {
  return Math.max(1, burstCount) + DEPTH_EXTRA_COUNT;
}

/**
 * Computes the time after the ask in which a granted token may be used.
 *
 * @param cap Cap of the tenant.
 * @returns Time in ms; 400 ms for a window of 5 s.
 */
export function tokenLifetimeMs({ windowMs }: UsageCap): number {
  return windowMs * TOKEN_LIFETIME_RATIO;
}

/**
 * Computes how many tokens all owners of a tenant together may have in stocks.
 *
 * @param cap Cap of the tenant.
 * @returns Tokens; those of 300 ms for a window of 5 s.
 */
export function prefetchMaxCount({ ratePerS, windowMs }: UsageCap): number {
  return ratePerS * windowMs * PREFETCH_RATIO / MS_PER_S;
}

/**
 * Compares two caps.
 *
 * @param a A cap.
 * @param b Another one.
 * @returns Whether all of their values are the same.
 */
export function isSameCap(a: UsageCap, b: UsageCap): boolean {
  return a.ratePerS === b.ratePerS && a.burstCount === b.burstCount &&
    a.windowMs === b.windowMs;
}
