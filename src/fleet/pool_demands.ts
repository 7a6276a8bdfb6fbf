/** Runs that the requests of this daemon's callers need at each pool. */
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import type { FleetRoutes } from "../decisions/routing/fleet_routes.ts";
import type { CompetingRoute } from "../decisions/sharing/competing_pools.ts";
import type { FlowDemands } from "../decisions/sharing/fair_share.ts";
import {
  type OfferedFlow,
  OfferedRequests,
} from "../decisions/sharing/offered_requests.ts";

/**
 * Maximum number of priority classes. Routes whose `priority` is larger belong
 * to the last, least important class.
 */
export const CLASSES_MAX_COUNT = 8;

/**
 * Number of runs at each pool that one request causes: its own and those of its
 * downstream calls.
 */
export type RunsByPool = ReadonlyMap<string, number>;

function classesCountOf({ lowestPriority }: FleetRoutes): number {
  return Math.min(CLASSES_MAX_COUNT, lowestPriority + 1);
}

/** Class of a flow; undefined when its route does not exist any more. */
function classOf(
  { routeName, ownPriority }: OfferedFlow,
  routes: FleetRoutes,
): number | undefined {
  const route = routes.route(routeName);
  return route &&
    Math.min(ownPriority ?? route.priority, classesCountOf(routes) - 1);
}

/** Joins the recently offered requests with the calls that each one causes. */
export class PoolDemands {
  readonly #graph: CallGraph;
  readonly #offered = new OfferedRequests();
  #routes: FleetRoutes | undefined;
  #runsByPoolOfRoute = new Map<string, RunsByPool>();

  /**
   * @param graph Calls of each route.
   */
  constructor(graph: CallGraph) {
    this.#graph = graph;
  }

  /**
   * Applies the routes in force, and the calls that are known now.
   *
   * @param routes Routes in force.
   */
  update(routes: FleetRoutes): void {
    this.#routes = routes;
    this.#runsByPoolOfRoute = new Map();
  }

  /**
   * Counts an offered request; see {@link OfferedRequests.add}.
   *
   * @param flow Route, priority in place of the route's, and tenant.
   * @returns Name of its flow.
   */
  add(flow: Parameters<OfferedRequests["add"]>[0]): string {
    return this.#offered.add(flow);
  }

  /** Lets the counts decay. Called once per control interval. */
  decay(): void {
    this.#offered.decay();
  }

  /**
   * Returns the runs that one request of a route causes at each pool.
   *
   * @param routeName Name of the route.
   * @returns Runs by the name of the pool.
   */
  runsByPool(routeName: string): RunsByPool {
    const cached = this.#runsByPoolOfRoute.get(routeName);
    if (cached !== undefined) {
      return cached;
    }
    const runsByPool = new Map<string, number>();
    for (const [called, runs] of this.#graph.runsByRoute(routeName)) {
      for (const { pool } of this.#routes?.route(called)?.targets ?? []) {
        runsByPool.set(pool, (runsByPool.get(pool) ?? 0) + runs);
      }
    }
    this.#runsByPoolOfRoute.set(routeName, runsByPool);
    return runsByPool;
  }

  /**
   * Returns the offered runs of each pool by priority class, and forgets flows
   * whose routes do not exist any more.
   *
   * @param moreRunsThan Runs at the pool that a request must exceed to count.
   * @returns Offered runs by class, most important first, by name of the pool.
   */
  offeredByPool(moreRunsThan: number): Map<string, number[]> {
    const offered = new Map<string, number[]>();
    const routes = this.#routes;
    if (routes === undefined) {
      return offered;
    }
    for (const flow of this.#offered.flows) {
      const priority = classOf(flow, routes);
      if (priority === undefined) {
        this.#offered.delete(flow.name);
        continue;
      }
      for (const [pool, runs] of this.runsByPool(flow.routeName)) {
        if (runs <= moreRunsThan) {
          continue;
        }
        const byClass = offered.get(pool) ??
          new Array<number>(classesCountOf(routes)).fill(0);
        byClass[priority]! += flow.count * runs;
        offered.set(pool, byClass);
      }
    }
    return offered;
  }

  /**
   * Returns the runs that the flows of a class offer to a pool.
   *
   * @param pool Name of the pool.
   * @param priority Class.
   * @returns Offered runs by the name of the flow.
   */
  demandsOf(pool: string, priority: number): FlowDemands {
    const demands = new Map<string, number>();
    const routes = this.#routes;
    for (const flow of this.#offered.flows) {
      const runs = this.runsByPool(flow.routeName).get(pool);
      if (
        routes !== undefined && runs !== undefined &&
        classOf(flow, routes) === priority
      ) {
        demands.set(flow.name, flow.count * runs);
      }
    }
    return demands;
  }

  /** Routes that callers use, with the pools that each one needs. */
  competingRoutes(): CompetingRoute[] {
    const routes = this.#routes;
    if (routes === undefined) {
      return [];
    }
    return routes.config.routes
      .filter(({ name }) => !this.#graph.isCalled(name))
      .map(({ name, priority, latencyGoalMs, isPublic }) => ({
        priority: Math.min(priority, classesCountOf(routes) - 1),
        latencyGoalMs,
        hasTenants: routes.tenants !== undefined && !isPublic,
        pools: this.runsByPool(name).keys(),
      }));
  }
}
