/** Adjusts the admission levels by what the daemons say of their upstreams. */
import type { EntryLevels } from "../decisions/entry_levels.ts";
import type { FleetRoutes } from "../decisions/fleet_routes.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { PathTable } from "./path_table.ts";

/** Options of {@link LevelControl}. */
export type LevelControlOptions = {
  paths: PathTable;
  levels: EntryLevels;
  log: Logger;
};

/** Steps the level of each pool once per control interval. */
export class LevelControl {
  readonly #options: LevelControlOptions;
  readonly #loggedClasses = new Map<string, number>();

  /**
   * @param options Paths, levels and log.
   */
  constructor(options: LevelControlOptions) {
    this.#options = options;
  }

  /**
   * Adjusts all levels.
   *
   * @param routes Routes in force.
   */
  step(routes: FleetRoutes): void {
    const { routes: list, pools } = routes.config;
    const priorityMax = list.reduce(
      (max, { priority }) => Math.max(max, priority),
      0,
    );
    for (const { name } of pools) {
      this.#stepPool(name, priorityMax + 1);
    }
  }

  #stepPool(pool: string, classesCount: number): void {
    let limitSum = 0;
    let openSum = 0;
    let weightedWaitMs = 0;
    for (const { state, load } of this.#options.paths.pathsOf(pool)) {
      if (state?.isServing !== true) {
        continue;
      }
      limitSum += state.limitCount;
      openSum += Math.min(load.estimatedCount, state.limitCount);
      weightedWaitMs += state.queueWaitMs * state.limitCount;
    }
    if (limitSum === 0) {
      return;
    }
    const level = this.#options.levels.step(pool, {
      queueWaitMs: weightedWaitMs / limitSum,
      busyRatio: openSum / limitSum,
    }, classesCount);
    this.#logChange(pool, Math.ceil(level), weightedWaitMs / limitSum);
  }

  /** Logs a level when the classes that are shed at all change. */
  #logChange(pool: string, classes: number, queueWaitMs: number): void {
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
        queueWaitMs: Math.round(queueWaitMs),
      });
    }
  }
}
