/** Constants and derived bounds of the usage caps of tenants. */

/** Usage cap of one tenant over all daemons. */
export type UsageCap = {
  readonly ratePerS: number;
  readonly burstCount: number;
};

/**
 * Tokens of a bucket beyond the burst. A tenant with a cap of one request per
 * second and a burst of one would otherwise lose requests that arrive at random
 * below its cap. It is half of the 20 requests by which the cap may be exceeded.
 */
const DEPTH_EXTRA_COUNT = 10;
/**
 * Time after the ask in which a granted token may be used. A token that is used
 * in one window may have been granted this long before it, so the time must be
 * below a tenth of the window (500 ms), by which the cap may be exceeded.
 */
export const TOKEN_LIFETIME_MS = 400;
/**
 * Prefetched tokens that may be granted within the lifetime of a token, in
 * seconds of the tenant's rate. They may all be used in one instant.
 */
export const PREFETCH_MAX_S = 0.3;
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
