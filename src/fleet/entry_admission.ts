/** Admission of callers' requests by the load of the pools that they use. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph } from "../decisions/call_graph.ts";
import { EntryLevels } from "../decisions/entry_levels.ts";
import type { FleetRoutes } from "../decisions/fleet_routes.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { PathTable } from "./path_table.ts";

/**
 * Share of each class that is admitted at any load, so that no class starves
 * and a recovery is detected.
 */
const ADMITTED_MIN_RATIO = 0.12;
/** Factor per control interval on the counts of offered requests. */
const OFFERED_DECAY = 0.95;
/** Classes that are distinguished; higher priorities count as the last one. */
const CLASSES_MAX_COUNT = 8;

/** Options of {@link EntryAdmission}. */
export type EntryAdmissionOptions = {
  paths: PathTable;
  graph: CallGraph;
  random: RandomSource;
  log: Logger;
};

/** Runs per pool that one request causes, itself included. */
type PoolRuns = ReadonlyMap<string, number>;

/**
 * Admits or refuses requests of callers by one admission level per pool, which
 * follows the load of the pool.
 */
export class EntryAdmission {
  readonly #options: EntryAdmissionOptions;
  readonly #levels = new EntryLevels();
  readonly #offered = new Map<string, number>();
  readonly #loggedClasses = new Map<string, number>();
  #routes: FleetRoutes | undefined;
  #runsByRoute = new Map<string, PoolRuns>();

  /**
   * @param options Paths, call graph, random numbers and log.
   */
  constructor(options: EntryAdmissionOptions) {
    this.#options = options;
  }

  /**
   * Returns the admission level of a pool.
   *
   * @param pool Name of the pool.
   * @returns Number of admitted classes; undefined before the first step.
   */
  level(pool: string): number | undefined {
    return this.#levels.level(pool);
  }

  /**
   * Decides whether a request of a caller is admitted.
   *
   * @param route Route of the request.
   * @returns Pool whose level refuses the request; undefined when the request
   *   is admitted.
   */
  refusingPool(route: FleetRoute): string | undefined {
    this.#offered.set(route.name, (this.#offered.get(route.name) ?? 0) + 1);
    const sample = this.#options.random.nextFloat();
    if (sample < ADMITTED_MIN_RATIO) {
      return undefined;
    }
    // The remaining requests of a class are spread evenly over its ranks.
    const rank = Math.min(route.priority, CLASSES_MAX_COUNT - 1) +
      (sample - ADMITTED_MIN_RATIO) / (1 - ADMITTED_MIN_RATIO);
    for (const pool of this.#poolRuns(route.name).keys()) {
      const level = this.#levels.level(pool);
      if (level !== undefined && rank >= level) {
        return pool;
      }
    }
    return undefined;
  }

  /**
   * Adjusts the levels of all pools. Called once per control interval.
   *
   * @param routes Routes in force.
   */
  step(routes: FleetRoutes): void {
    this.#routes = routes;
    this.#runsByRoute = new Map();
    const offered = this.#offeredByPool(routes);
    for (const { name } of routes.config.pools) {
      const busyRatio = this.#busyRatio(name);
      const runs = offered.get(name);
      if (busyRatio !== undefined && runs !== undefined) {
        const level = this.#levels.step(name, { busyRatio, offered: runs });
        this.#logChange(name, Math.ceil(level), busyRatio);
      }
    }
    for (const [routeName, count] of this.#offered) {
      this.#offered.set(routeName, count * OFFERED_DECAY);
    }
  }

  #offeredByPool(routes: FleetRoutes): Map<string, number[]> {
    const priorityMax = routes.config.routes.reduce(
      (max, { priority }) => Math.max(max, priority),
      0,
    );
    const classesCount = Math.min(CLASSES_MAX_COUNT, priorityMax + 1);
    const offered = new Map<string, number[]>();
    for (const [routeName, count] of this.#offered) {
      const route = routes.route(routeName);
      if (route === undefined) {
        this.#offered.delete(routeName);
        continue;
      }
      const priority = Math.min(route.priority, classesCount - 1);
      for (const [pool, runs] of this.#poolRuns(routeName)) {
        const byClass = offered.get(pool) ??
          new Array<number>(classesCount).fill(0);
        byClass[priority]! += count * runs;
        offered.set(pool, byClass);
      }
    }
    return offered;
  }

  #poolRuns(routeName: string): PoolRuns {
    const cached = this.#runsByRoute.get(routeName);
    if (cached !== undefined) {
      return cached;
    }
    const poolRuns = new Map<string, number>();
    for (const [called, runs] of this.#options.graph.runsByRoute(routeName)) {
      for (const { pool } of this.#routes?.route(called)?.targets ?? []) {
        poolRuns.set(pool, (poolRuns.get(pool) ?? 0) + runs);
      }
    }
    this.#runsByRoute.set(routeName, poolRuns);
    return poolRuns;
  }

  /** Mean load of the pool's serving upstreams, weighted by their limits. */
  #busyRatio(pool: string): number | undefined {
    let limitSum = 0;
    let busySum = 0;
    for (const { state } of this.#options.paths.pathsOf(pool)) {
      if (state?.isServing === true) {
        limitSum += state.limitCount;
        busySum += state.busyRatio * state.limitCount;
      }
    }
    return limitSum === 0 ? undefined : busySum / limitSum;
  }

  /** Logs the level of a pool when its number of admitted classes changes. */
  #logChange(pool: string, classes: number, busyRatio: number): void {
    const last = this.#loggedClasses.get(pool);
    if (last === classes) {
      return;
    }
    this.#loggedClasses.set(pool, classes);
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
