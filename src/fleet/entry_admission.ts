/** Admission control of callers' requests by the load of the pools they use. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph } from "../decisions/call_graph.ts";
import { EntryLevels } from "../decisions/entry_levels.ts";
import type { FleetRoutes } from "../decisions/fleet_routes.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ChannelTable } from "./channel_table.ts";

/**
 * Factor by which the counts of offered requests decay per control interval.
 */
const OFFERED_DECAY = 0.95;
/**
 * Maximum number of priority classes. Routes whose `priority` is larger belong
 * to the last, least important class.
 */
const CLASSES_MAX_COUNT = 8;

/** Options of {@link EntryAdmission}. */
export type EntryAdmissionOptions = {
  channels: ChannelTable;
  graph: CallGraph;
  random: RandomSource;
  log: Logger;
};

/** Requests of a route that were offered, with decay. */
type OfferedCounts = {
  /** Requests with the priority of the route. */
  routeCount: number;
  /** Requests with another priority, that of their tenant, by priority. */
  readonly byPriority: number[];
};

/**
 * Number of runs at each pool that one request causes: its own and those of its
 * downstream calls.
 */
type RunsByPool = ReadonlyMap<string, number>;

/**
 * Admits or refuses requests of callers. Each pool has an admission level that
 * is adjusted to its load; a request must pass the levels of all pools it uses.
 */
export class EntryAdmission {
  readonly #options: EntryAdmissionOptions;
  readonly #levels = new EntryLevels();
  readonly #offeredByRoute = new Map<string, OfferedCounts>();
  readonly #loggedClassesCounts = new Map<string, number>();
  #routes: FleetRoutes | undefined;
  #runsByPoolOfRoute = new Map<string, RunsByPool>();

  /**
   * @param options Channels to the upstreams, call graph, random numbers and
   *   logger.
   */
  constructor(options: EntryAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns the admission level of a pool.
   *
   * @param pool Name of the pool.
   * @returns Number of admitted priority classes, with a fraction if one class
   *   is admitted in part; undefined before the first step.
   */
  level(pool: string): number | undefined {
    return this.#levels.level(pool);
  }

  /**
   * Counts a request of a caller as offered and decides whether it is admitted.
   *
   * @param route Route of the request.
   * @param ownPriority Priority of the request, that of its tenant or its route.
   * @returns Pool whose level refuses the request; undefined when the request
   *   is admitted.
   */
  findRefusingPool(
    route: FleetRoute,
    ownPriority: number = route.priority,
  ): string | undefined {
    this.#countOffered(route, ownPriority);
    const sample = this.#options.random.nextFloat();
    const priority = Math.min(ownPriority, CLASSES_MAX_COUNT - 1);
    for (const pool of this.#runsByPool(route.name).keys()) {
      if (!this.#levels.admits(pool, { priority, sample })) {
        return pool;
      }
    }
    return undefined;
  }

  /**
   * Returns whether a pool that requests of a route use admits only a part of
   * the offered requests.
   *
   * @param route Route of the request.
   * @returns True while such a pool is overloaded.
   */
  isShedding(route: FleetRoute): boolean {
    for (const pool of this.#runsByPool(route.name).keys()) {
      if (this.#levels.isShedding(pool)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adjusts the levels of all pools. Called once per control interval.
   *
   * @param routes Routes in force.
   */
  step(routes: FleetRoutes): void {
    this.#routes = routes;
    this.#runsByPoolOfRoute = new Map();
    const offered = this.#offeredByPool(routes);
    for (const { name } of routes.config.pools) {
      const busyRatio = this.#busyRatio(name);
      const offeredRuns = offered.get(name);
      if (busyRatio !== undefined && offeredRuns !== undefined) {
        const level = this.#levels.step(name, {
          busyRatio,
          offered: offeredRuns,
        });
        this.#logChange(name, Math.ceil(level), busyRatio);
      }
    }
    for (const counts of this.#offeredByRoute.values()) {
      counts.routeCount *= OFFERED_DECAY;
      counts.byPriority.forEach((count, priority) =>
        counts.byPriority[priority] = count * OFFERED_DECAY
      );
    }
  }

  #countOffered({ name, priority }: FleetRoute, ownPriority: number): void {
    let counts = this.#offeredByRoute.get(name);
    if (counts === undefined) {
      counts = { routeCount: 0, byPriority: [] };
      this.#offeredByRoute.set(name, counts);
    }
    if (ownPriority === priority) {
      counts.routeCount++;
      return;
    }
    const index = Math.min(ownPriority, CLASSES_MAX_COUNT - 1);
    counts.byPriority[index] = (counts.byPriority[index] ?? 0) + 1;
  }

  #offeredByPool(routes: FleetRoutes): Map<string, number[]> {
    const { config } = routes;
    const priorityMax = [...config.routes, ...config.tenants ?? []].reduce(
      (max, { priority = 0 }) => Math.max(max, priority),
      0,
    );
    const classesCount = Math.min(CLASSES_MAX_COUNT, priorityMax + 1);
    const offered = new Map<string, number[]>();
    for (const [routeName, counts] of this.#offeredByRoute) {
      const route = routes.route(routeName);
      if (route === undefined) {
        this.#offeredByRoute.delete(routeName);
        continue;
      }
      const classOf = (priority: number) =>
        Math.min(priority, classesCount - 1);
      for (const [pool, runs] of this.#runsByPool(routeName)) {
        const byClass = offered.get(pool) ??
          new Array<number>(classesCount).fill(0);
        byClass[classOf(route.priority)]! += counts.routeCount * runs;
        counts.byPriority.forEach((count, priority) =>
          byClass[classOf(priority)]! += count * runs
        );
        offered.set(pool, byClass);
      }
    }
    return offered;
  }

  #runsByPool(routeName: string): RunsByPool {
    const cached = this.#runsByPoolOfRoute.get(routeName);
    if (cached !== undefined) {
      return cached;
    }
    const runsByPool = new Map<string, number>();
    for (const [called, runs] of this.#options.graph.runsByRoute(routeName)) {
      for (const { pool } of this.#routes?.route(called)?.targets ?? []) {
        runsByPool.set(pool, (runsByPool.get(pool) ?? 0) + runs);
      }
    }
    this.#runsByPoolOfRoute.set(routeName, runsByPool);
    return runsByPool;
  }

  /**
   * Mean busy ratio of the pool's serving upstreams, weighted by their limits;
   * undefined when none serves.
   */
  #busyRatio(pool: string): number | undefined {
    let limitSum = 0;
    let busySum = 0;
    for (const { state } of this.#options.channels.channelsOf(pool)) {
      if (state?.isServing === true) {
        limitSum += state.limitCount;
        busySum += state.busyRatio * state.limitCount;
      }
    }
    return limitSum === 0 ? undefined : busySum / limitSum;
  }

  /**
   * Logs when the number of classes that a pool admits, rounded up, changes.
   */
  #logChange(pool: string, classes: number, busyRatio: number): void {
    const last = this.#loggedClassesCounts.get(pool);
    if (last === classes) {
      return;
    }
    this.#loggedClassesCounts.set(pool, classes);
    if (last !== undefined) {
      this.#options.log.info("Admission level changed class", {
        pool,
        classes,
        lastClasses: last,
        busyRatio,
      });
    }
  }
}
