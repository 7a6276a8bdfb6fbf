/** Tables of a given size for the configuration bench. */
import type { TableTexts } from "../../src/config/pair_checker.ts";

// One pool per service: the design size has 1,700 services and 4,000 routes.
const POOLS_PER_ROUTE = 0.425;
const TENANTS_COUNT = 20;

function makeRoutes(count: number, poolsCount: number, timeoutMs: number) {
  return Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`route-${index}`, {
      match: { method: "GET", pathPrefix: `/service/${index}/resource` },
      pool: `pool-${index % poolsCount}`,
      class: "standard",
      idempotent: true,
      timeoutMs: index === 0 ? timeoutMs : 10_000,
    }]),
  );
}

function makePools(count: number) {
  return Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`pool-${index}`, {
      dataCentres: ["dc-1", "dc-2", "dc-3"],
      slotsCount: 100,
      connectionsMaxCount: 700,
      endpointsCount: 15,
    }]),
  );
}

function makeTenants() {
  return Object.fromEntries(
    Array.from({ length: TENANTS_COUNT }, (_, index) => [`tenant-${index}`, {
      tokenSha256: index.toString(16).padStart(64, "0"),
    }]),
  );
}

/**
 * Makes a valid pair of tables.
 *
 * @param routesCount Number of routes.
 * @param timeoutMs Timeout of the first route, in ms; tables with different
 * timeouts differ in one entry.
 * @returns JSON texts without white space.
 */
export function makeTexts(routesCount: number, timeoutMs: number): TableTexts {
  const poolsCount = Math.ceil(routesCount * POOLS_PER_ROUTE);
  const routes = makeRoutes(routesCount, poolsCount, timeoutMs);
  return {
    routes: JSON.stringify({ tenants: makeTenants(), routes }),
    pools: JSON.stringify({ pools: makePools(poolsCount) }),
  };
}
