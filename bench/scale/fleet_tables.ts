/** Tables of the fleet of the scale benchmark. */

/** Data centres of the fleet. */
export const DATA_CENTRES: readonly string[] = ["dc-0", "dc-1", "dc-2"];

/** Endpoints of each pool. */
export const ENDPOINTS_PER_POOL = 5;

/**
 * Makes tables with one route and one pool for every five daemons.
 *
 * @param daemonsCount Daemons of the fleet.
 * @param options Number of the change; tables of two changes differ in one
 * entry.
 * @returns Both tables.
 */
export function makeFleetTables(
  daemonsCount: number,
  { change }: { change: number },
): { routes: unknown; pools: unknown } {
  const poolsCount = Math.ceil(daemonsCount / ENDPOINTS_PER_POOL);
  const names = Array.from({ length: poolsCount }, (_, i) => `pool-${i}`);
  const routes = names.map((pool, index) => [`route-${index}`, {
    match: { method: "GET", pathPrefix: `/${pool}` },
    pool,
    class: "standard",
    idempotent: true,
    timeoutMs: index === 0 ? 10_000 + change : 10_000,
  }]);
  const pools = names.map((pool) => [pool, {
    dataCentres: DATA_CENTRES,
    slotsCount: 10,
    connectionsMaxCount: 1_000,
    endpointsCount: ENDPOINTS_PER_POOL,
  }]);
  return {
    routes: { routes: Object.fromEntries(routes) },
    pools: { pools: Object.fromEntries(pools) },
  };
}
