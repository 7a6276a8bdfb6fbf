/**
 * Pools for which flows of one class compete. Only these are coordinated, so
 * that all other deployments are served as before.
 */

/** Route of callers, and what its requests need. */
export type CompetingRoute = {
  /** Class of its requests. */
  readonly priority: number;
  readonly latencyGoalMs: number;
  /** Whether the requests of each tenant are a flow. */
  readonly hasTenants: boolean;
  /** Names of the pools that run its requests and their calls. */
  readonly pools: Iterable<string>;
};

/** Pool for which flows compete. */
export type CompetingPool = {
  /** Shortest latency goal of the requests that use it, in ms. */
  readonly shortestGoalMs: number;
};

/**
 * Finds the pools that at least two flows of one class use.
 *
 * @param routes Routes that callers use.
 * @returns Pools by name.
 */
export function findCompetingPools(
  routes: Iterable<CompetingRoute>,
): Map<string, CompetingPool> {
  const usages = new Map<
    string,
    { flowsCounts: Map<number, number>; shortestGoalMs: number }
  >();
  for (const { priority, latencyGoalMs, hasTenants, pools } of routes) {
    for (const pool of pools) {
      const usage = usages.get(pool) ??
        { flowsCounts: new Map(), shortestGoalMs: Infinity };
      usages.set(pool, usage);
      usage.shortestGoalMs = Math.min(usage.shortestGoalMs, latencyGoalMs);
      const count = usage.flowsCounts.get(priority) ?? 0;
      usage.flowsCounts.set(priority, count + (hasTenants ? 2 : 1));
    }
  }
  const competing = new Map<string, CompetingPool>();
  for (const [pool, { flowsCounts, shortestGoalMs }] of usages) {
    if ([...flowsCounts.values()].some((count) => count >= 2)) {
      competing.set(pool, { shortestGoalMs });
    }
  }
  return competing;
}
