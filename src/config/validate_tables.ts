/** Rules that a pair of tables must satisfy beyond the schema of each table. */
import { CONNECTIONS_PER_CALLER_COUNT } from "../decisions/selection/rendezvous_subset.ts";
import { IMPORTANCE_CLASSES } from "../schemas/common_schema.ts";
import type { TableMistake } from "../schemas/config_schema.ts";
import type {
  Pool,
  PoolsTable,
  Route,
  RoutesTable,
  Tables,
} from "../schemas/tables_schema.ts";

// The choice between two random endpoints and retries at another one need two.
const SUBSET_MIN_COUNT = 2;

type BranchRule = RoutesTable["branches"][string]["routes"][string];

function routeMistake(
  name: string,
  field: string,
  reason: string,
): TableMistake {
  return { table: "routes", entry: `routes.${name}`, field, reason };
}

function checkPoolExists(name: string, route: Route, pools: PoolsTable) {
  return !Object.hasOwn(pools.pools, route.pool)
    ? [routeMistake(name, "pool", `Pool "${route.pool}" does not exist`)]
    : [];
}

function checkBoundedClasses(name: string, route: Route): TableMistake[] {
  const centralIndex = IMPORTANCE_CLASSES.indexOf(route.class);
  return (route.branchBounds?.classes ?? [])
    .filter((item) =>
      Math.abs(IMPORTANCE_CLASSES.indexOf(item) - centralIndex) > 1
    )
    .map((item) =>
      routeMistake(
        name,
        "branchBounds.classes",
        `Class "${item}" is more than one step from "${route.class}"`,
      )
    );
}

function checkBoundedTimeout(name: string, route: Route): TableMistake[] {
  const { timeoutMsMin: min, timeoutMsMax: max } = route.branchBounds ?? {};
  const tooLow = min !== undefined && min > route.timeoutMs;
  const tooHigh = max !== undefined && max < route.timeoutMs;
  return [
    ...(tooLow
      ? [routeMistake(
        name,
        "branchBounds.timeoutMsMin",
        `Lower bound ${min} is above the central timeout ${route.timeoutMs}`,
      )]
      : []),
    ...(tooHigh
      ? [routeMistake(
        name,
        "branchBounds.timeoutMsMax",
        `Upper bound ${max} is below the central timeout ${route.timeoutMs}`,
      )]
      : []),
  ];
}

function checkKeyRetention(name: string, route: Route, pools: PoolsTable) {
  const pool = pools.pools[route.pool];
  return route.keys !== "none" && pool !== undefined &&
      pool.keyRetentionMs <= pool.handoverMs
    ? [routeMistake(
      name,
      "keys",
      `Pool "${route.pool}" keeps keys no longer than a hand-over takes`,
    )]
    : [];
}

function checkDuplicateMatches(routes: RoutesTable): TableMistake[] {
  const firstByMatch = new Map<string, string>();
  const mistakes: TableMistake[] = [];
  for (const [name, { match }] of Object.entries(routes.routes)) {
    const key = `${match.method} ${match.pathPrefix}`;
    const first = firstByMatch.get(key);
    if (first !== undefined) {
      const reason = `Route "${first}" already matches ${key}`;
      mistakes.push(routeMistake(name, "match", reason));
    }
    firstByMatch.set(key, first ?? name);
  }
  return mistakes;
}

function checkTenants(routes: RoutesTable): TableMistake[] {
  return Object.entries(routes.tenants)
    .filter(([, { branch }]) =>
      branch !== undefined && !Object.hasOwn(routes.branches, branch)
    )
    .map(([name, { branch }]) => ({
      table: "routes",
      entry: `tenants.${name}`,
      field: "branch",
      reason: `Branch "${branch}" does not exist`,
    }));
}

/** Lists the fields of a branch's rule that violate the central bounds, with reasons. */
function listBoundViolations(
  route: Route,
  rule: BranchRule,
): [string, string][] {
  const { classes = [], timeoutMsMin, timeoutMsMax } = route.branchBounds ?? {};
  const min = timeoutMsMin ?? route.timeoutMs;
  const max = timeoutMsMax ?? route.timeoutMs;
  const violations: [string, string][] = [];
  const { class: branchClass, timeoutMs } = rule;
  if (branchClass !== undefined && branchClass !== route.class) {
    if (!classes.includes(branchClass)) {
      violations.push([
        "class",
        `The centre does not allow class "${branchClass}"`,
      ]);
    }
  }
  if (timeoutMs !== undefined && (timeoutMs < min || timeoutMs > max)) {
    const reason = `The centre allows ${min} to ${max} ms, not ${timeoutMs}`;
    violations.push(["timeoutMs", reason]);
  }
  return violations;
}

function checkBranch(branch: string, routes: RoutesTable): TableMistake[] {
  const rules = Object.entries(routes.branches[branch]?.routes ?? {});
  return rules.flatMap(([name, rule]): TableMistake[] => {
    const location = { table: "routes" as const, entry: `branches.${branch}` };
    const route = routes.routes[name];
    if (route === undefined || !Object.hasOwn(routes.routes, name)) {
      const reason = `Route "${name}" does not exist`;
      return [{ ...location, field: `routes.${name}`, reason }];
    }
    return listBoundViolations(route, rule).map(([field, reason]) => (
      { ...location, field: `routes.${name}.${field}`, reason }
    ));
  });
}

/**
 * Checks that the connection limit of an endpoint suffices for all callers when
 * each connects to the smallest usable subset of the endpoints.
 */
function checkConnections(name: string, pool: Pool): TableMistake[] {
  const { callersMaxCount, endpointsCount, connectionsMaxCount } = pool;
  const subsetCount = Math.min(SUBSET_MIN_COUNT, endpointsCount);
  const neededCount = Math.ceil(
    callersMaxCount * CONNECTIONS_PER_CALLER_COUNT * subsetCount /
      endpointsCount,
  );
  if (neededCount <= connectionsMaxCount) {
    return [];
  }
  return [{
    table: "pools",
    entry: `pools.${name}`,
    field: "connectionsMaxCount",
    reason: `${callersMaxCount} callers with ${CONNECTIONS_PER_CALLER_COUNT} ` +
      `connections to each of ${subsetCount} of ${endpointsCount} endpoints ` +
      `need ${neededCount} connections, more than ${connectionsMaxCount}`,
  }];
}

function checkDataCentres(name: string, pool: Pool): TableMistake[] {
  return pool.dataCentres
    .filter((item, index, all) => all.indexOf(item) !== index)
    .map((item) => ({
      table: "pools" as const,
      entry: `pools.${name}`,
      field: "dataCentres",
      reason: `Data centre "${item}" is listed twice`,
    }));
}

/**
 * Checks a pair of tables against the rules that the schemas do not express.
 * Each table must already satisfy its schema.
 *
 * @param tables Pair of tables.
 * @returns All mistakes; empty when the pair is valid.
 *
 * @example
 * validateTables(tables)[0];
 * // { table: "routes", entry: "routes.enrol", field: "pool", reason: 'Pool "x" does not exist' }
 */
export function validateTables({ routes, pools }: Tables): TableMistake[] {
  return [
    ...Object.entries(routes.routes).flatMap(([name, route]) => [
      ...checkPoolExists(name, route, pools),
      ...checkBoundedClasses(name, route),
      ...checkBoundedTimeout(name, route),
      ...checkKeyRetention(name, route, pools),
    ]),
    ...checkDuplicateMatches(routes),
    ...checkTenants(routes),
    ...Object.keys(routes.branches).flatMap((branch) =>
      checkBranch(branch, routes)
    ),
    ...Object.entries(pools.pools).flatMap(([name, pool]) => [
      ...checkConnections(name, pool),
      ...checkDataCentres(name, pool),
    ]),
  ];
}
