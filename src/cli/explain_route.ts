/** Explains which rules apply to a request, with reasons. */
import { RouteMatcher } from "../decisions/routing/route_matcher.ts";
import type { ImportanceClass } from "../schemas/common_schema.ts";
import type { Pool, Route, Tables } from "../schemas/tables_schema.ts";

/** Properties of a request that the rules depend on. */
export type ExplainedRequest = {
  readonly method: string;
  readonly path: string;
  readonly tenant: string;
};

/** Rules that apply to a request, with reasons. */
export type Explanation = {
  readonly request: ExplainedRequest;
  readonly route: string;
  readonly pathPrefix: string;
  /** Names of other matching routes; the longest prefix takes precedence. */
  readonly shadowed: string[];
  readonly branch?: string;
  readonly class: ImportanceClass;
  readonly classReason: string;
  readonly timeoutMs: number;
  readonly timeoutReason: string;
  readonly bounds: Route["branchBounds"] | "none";
  readonly idempotent: boolean;
  readonly keys: Route["keys"];
  readonly attemptsMax: number;
  readonly tenantWeight: number;
  readonly pool: string;
  readonly poolRules: Pool;
};

function listShadowed(
  tables: Tables,
  request: ExplainedRequest,
  matchedName: string,
) {
  return Object.entries(tables.routes.routes)
    .filter(([name, { match }]) =>
      name !== matchedName && match.method === request.method &&
      request.path.startsWith(match.pathPrefix)
    )
    .map(([name]) => name);
}

/**
 * Describes why a value is in force: by the central rule, by a branch rule, or by
 * the central bounds on the branch rule.
 */
function describeReason(
  centralValue: unknown,
  branchValue: unknown,
  effectiveValue: unknown,
): string {
  if (branchValue === undefined) {
    return "central rule";
  }
  if (branchValue === effectiveValue) {
    return `branch rule, central rule is ${centralValue}`;
  }
  return `branch wants ${branchValue}, the centre's bounds give ${effectiveValue}`;
}

/**
 * Explains which rules apply to a request.
 *
 * @param tables Tables of routes and pools.
 * @param request Method, path and tenant.
 * @returns Rules with reasons; undefined when no route matches.
 *
 * @example
 * explainRoute(tables, { method: "GET", path: "/logs/7", tenant: "default" })?.classReason;
 */
export function explainRoute(
  tables: Tables,
  request: ExplainedRequest,
): Explanation | undefined {
  const { method, path, tenant } = request;
  const rules = new RouteMatcher(tables).match(method, path, tenant);
  if (rules === undefined) {
    return undefined;
  }
  const { name, route, pool, importanceClass, timeoutMs } = rules;
  const { branch, weight = 1 } = tables.routes.tenants[tenant] ?? {};
  const branchRoute = tables.routes.branches[branch ?? ""]?.routes[name];
  return {
    request,
    route: name,
    pathPrefix: route.match.pathPrefix,
    shadowed: listShadowed(tables, request, name),
    ...(branch !== undefined && { branch }),
    class: importanceClass,
    classReason: describeReason(
      route.class,
      branchRoute?.class,
      importanceClass,
    ),
    timeoutMs,
    timeoutReason: describeReason(
      route.timeoutMs,
      branchRoute?.timeoutMs,
      timeoutMs,
    ),
    bounds: route.branchBounds ?? "none",
    idempotent: route.idempotent,
    keys: route.keys,
    attemptsMax: route.attemptsMax,
    tenantWeight: weight,
    pool: route.pool,
    poolRules: pool,
  };
}

/**
 * Formats an explanation as text.
 *
 * @param explanation Rules with reasons.
 * @returns Lines of text.
 */
export function describeExplanation(explanation: Explanation): string[] {
  const { request, shadowed, poolRules } = explanation;
  const { branch = "none" } = explanation;
  return [
    `request   ${request.method} ${request.path} of tenant ${request.tenant}`,
    `route     ${explanation.route}: longest matching prefix ${explanation.pathPrefix}`,
    ...(shadowed.length > 0 ? [`          before ${shadowed.join(", ")}`] : []),
    `branch    ${branch}, tenant weight ${explanation.tenantWeight}`,
    `class     ${explanation.class} (${explanation.classReason})`,
    `timeout   ${explanation.timeoutMs} ms (${explanation.timeoutReason})`,
    `bounds    ${JSON.stringify(explanation.bounds)}`,
    `repeats   ${
      explanation.idempotent ? "idempotent" : "only on a proved not-run"
    }, keys ${explanation.keys}, at most ${explanation.attemptsMax} attempts`,
    `pool      ${explanation.pool}: ${poolRules.endpointsCount} endpoints of ` +
    `${poolRules.slotsCount} slots in ${poolRules.dataCentres.join(", ")}`,
    `queue     ${poolRules.queueMaxCount} requests, at most ${poolRules.queueAgeMaxMs} ms`,
  ];
}
