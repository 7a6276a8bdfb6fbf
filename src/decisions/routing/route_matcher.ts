/** Finds the route of a request and the rules that apply to it. */
import type { ImportanceClass } from "../../schemas/common_schema.ts";
import type {
  Pool,
  Route,
  RoutesTable,
  Tables,
} from "../../schemas/tables_schema.ts";

/** A route with the rules of the tenant's branch applied. */
export type RouteRules = {
  readonly name: string;
  readonly route: Route;
  readonly pool: Pool;
  /** Class with the branch rule applied. */
  readonly importanceClass: ImportanceClass;
  /** Timeout with the branch rule applied, in ms. */
  readonly timeoutMs: number;
};

/**
 * Applies the rule of a branch to a route, within the central bounds.
 *
 * @param route Central route.
 * @param branchRule Rule of the branch; undefined keeps the central rule.
 * @returns Class and timeout in force.
 */
export function applyBranchRule(
  route: Route,
  branchRule: RoutesTable["branches"][string]["routes"][string] | undefined,
): Pick<RouteRules, "importanceClass" | "timeoutMs"> {
  const bounds = route.branchBounds;
  if (branchRule === undefined || bounds === undefined) {
    return { importanceClass: route.class, timeoutMs: route.timeoutMs };
  }
  const wantedClass = branchRule.class ?? route.class;
  const importanceClass = bounds.classes.includes(wantedClass)
    ? wantedClass
    : route.class;
  const wantedMs = branchRule.timeoutMs ?? route.timeoutMs;
  const timeoutMs = Math.min(
    Math.max(wantedMs, bounds.timeoutMsMin ?? route.timeoutMs),
    bounds.timeoutMsMax ?? route.timeoutMs,
  );
  return { importanceClass, timeoutMs };
}

type Candidate = { name: string; route: Route; pool: Pool };

/**
 * Compiled table of routes. The longest matching path prefix wins.
 *
 * @example
 * new RouteMatcher(tables).match("POST", "/enrolments/7", "workshop-dakar");
 */
export class RouteMatcher {
  readonly #tables: Tables;
  readonly #byMethod = new Map<string, Candidate[]>();
  readonly #cachedRules = new Map<string, RouteRules>();

  /**
   * @param tables Validated pair of tables.
   */
  constructor(tables: Tables) {
    this.#tables = tables;
    for (const [name, route] of Object.entries(tables.routes.routes)) {
      const pool = tables.pools.pools[route.pool];
      if (pool === undefined) {
        continue;
      }
      const list = this.#byMethod.get(route.match.method) ?? [];
      list.push({ name, route, pool });
      this.#byMethod.set(route.match.method, list);
    }
    for (const list of this.#byMethod.values()) {
      list.sort((a, b) =>
        b.route.match.pathPrefix.length - a.route.match.pathPrefix.length
      );
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param method HTTP method.
   * @param path Path with query.
   * @param tenant Tenant of the caller.
   * @returns Route and rules in force; undefined without a match.
   */
  match(method: string, path: string, tenant: string): RouteRules | undefined {
    const candidate = this.#byMethod.get(method)?.find(({ route }) =>
      path.startsWith(route.match.pathPrefix)
    );
    return candidate === undefined
      ? undefined
      : this.#rulesOf(candidate, tenant);
  }

  #rulesOf(candidate: Candidate, tenant: string): RouteRules {
    const { routes } = this.#tables;
    const branch = routes.tenants[tenant]?.branch ?? "";
    const cacheKey = `${candidate.name} ${branch}`;
    const cached = this.#cachedRules.get(cacheKey);
    if (cached !== undefined) {
      return cached;
    }
    const branchRule = routes.branches[branch]?.routes[candidate.name];
    const rules: RouteRules = {
      ...candidate,
      ...applyBranchRule(candidate.route, branchRule),
    };
    this.#cachedRules.set(cacheKey, rules);
    return rules;
  }
}
