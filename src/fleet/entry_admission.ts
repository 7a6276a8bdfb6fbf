/** Admission control of callers' requests by the load of the pools they use. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import {
  CompletionLevels,
  type PoolRefusals,
  SINGLE_RUN_MAX,
} from "../decisions/sharing/completion_levels.ts";
import {
  type CompetingPool,
  findCompetingPools,
} from "../decisions/sharing/competing_pools.ts";
import {
  type CoordinatedLoad,
  EntryLevels,
} from "../decisions/sharing/entry_levels.ts";
import type { PoolFigures } from "../decisions/sharing/pool_figures.ts";
import { OfferRates } from "../decisions/sharing/offer_rates.ts";
import { ScarcePools } from "../decisions/sharing/scarce_pools.ts";
import type { FleetRoutes } from "../decisions/routing/fleet_routes.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { PoolGauges } from "../telemetry/fleet_metrics.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ChannelTable } from "./channel_table.ts";
import { PoolCoordination } from "./pool_coordination.ts";
import { CLASSES_MAX_COUNT, PoolDemands } from "./pool_demands.ts";

/** Interval at which the pools with competing flows are determined. */
const COMPETING_INTERVAL_MS = 1_000;

/**
 * Share of the retries that admitted requests may need at a refusing pool.
 * Requests that were admitted before the refusals were known use the rest.
 */
const COMPLETION_RETRIES_RATIO = 0.4;

/** Options of {@link EntryAdmission}. */
export type EntryAdmissionOptions = {
  channels: ChannelTable;
  graph: CallGraph;
  random: RandomSource;
  log: Logger;
  /** Retries per request of a pool that the daemons may send. */
  retryRatio: number;
  /** Whether contested pools are coordinated while their room is scarce. */
  coordinatesPools: boolean;
};

/** Tenant and rank of a request; without them, those of its route apply. */
export type RequestRank = {
  readonly priority?: number;
  readonly tenantName?: string | undefined;
};

/**
 * Admits or refuses requests of callers. Each pool has an admission level that
 * is adjusted to its load; a request must pass the levels of all pools it uses.
 */
export class EntryAdmission {
  readonly #options: EntryAdmissionOptions;
  readonly #levels = new EntryLevels();
  readonly #demands: PoolDemands;
  readonly #rates = new OfferRates();
  readonly #coordination: PoolCoordination;
  #competing: ReadonlyMap<string, CompetingPool> = new Map();
  #competingAtMs = -Infinity;
  readonly #loggedClassesCounts = new Map<string, number>();
  readonly #completionLevels = new CompletionLevels();
  readonly #scarcePools = new ScarcePools();

  /**
   * @param options Channels to the upstreams, call graph, random numbers and
   *   logger.
   */
  constructor(options: EntryAdmissionOptions) {
    this.#options = options;
    this.#demands = new PoolDemands(options.graph);
    this.#coordination = new PoolCoordination(options.channels, options);
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

  /** Level, capacity and offered runs of the coordinated pools. */
  get poolGauges(): PoolGauges[] {
    return [...this.#competing.keys()].flatMap((pool) => {
      const { capacityPerS, offeredPerS } = this.figures(pool) ?? {};
      const level = this.level(pool);
      return capacityPerS === undefined || level === undefined ? [] : [{
        pool,
        level,
        capacityPerS,
        offeredPerS: (offeredPerS ?? []).reduce((sum, runs) => sum + runs, 0),
      }];
    });
  }

  /**
   * Returns whether all daemons derive the level of a pool from its capacity.
   *
   * @param pool Name of the pool.
   * @returns False when no flows compete for it, and while the busy ratio
   *   controls its admission.
   */
  isCoordinated(pool: string): boolean {
    return this.#competing.has(pool) && this.figures(pool) !== undefined;
  }

  /**
   * Returns the capacity and the offered runs of a pool.
   *
   * @param pool Name of the pool.
   * @returns Figures of all its upstreams; undefined while the busy ratio
   *   controls its admission.
   */
  figures(pool: string): PoolFigures | undefined {
    return this.#coordination.figures(pool);
  }

  /**
   * Counts a request of a caller as offered and decides whether it is admitted.
   *
   * @param route Route of the request.
   * @param rank Priority of the request in place of the route's, and its tenant.
   * @returns Pool whose level refuses the request; undefined when the request
   *   is admitted.
   */
  findRefusingPool(
    route: FleetRoute,
    { priority: ownPriority = route.priority, tenantName }: RequestRank = {},
  ): string | undefined {
    const flowName = this.#demands.add({
      routeName: route.name,
      ownPriority: ownPriority === route.priority ? undefined : ownPriority,
      tenantName,
    });
    const sample = this.#options.random.nextFloat();
    const priority = Math.min(ownPriority, CLASSES_MAX_COUNT - 1);
    this.#rates.add(route.name, priority);
    for (const [pool, runs] of this.#demands.runsByPool(route.name)) {
      if (
        !this.#levels.admits(pool, { priority, sample, flowName }) ||
        !this.#completionLevels.admits(pool, { priority, sample, runs })
      ) {
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
    for (const pool of this.#demands.runsByPool(route.name).keys()) {
      if (this.#levels.isShedding(pool) || this.isRefusing(pool)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the upstreams of a pool refuse so many requests that only a
   * part of the offered ones is admitted. The retries of those are what makes
   * them succeed.
   *
   * @param pool Name of the pool.
   * @returns True while the pool is limited in this way.
   */
  isRefusing(pool: string): boolean {
    return this.#completionLevels.isLimited(pool);
  }

  /**
   * Adjusts the levels of all pools. Called once per control interval.
   *
   * @param routes Routes in force.
   */
  step(routes: FleetRoutes): void {
    this.#demands.update(routes);
    const nowMs = performance.now();
    this.#rates.step(nowMs);
    this.#updateCompeting(nowMs);
    const offered = this.#demands.offeredByPool(0);
    const offeredBySeveralRuns = this.#competing.size === 0
      ? undefined
      : this.#demands.offeredByPool(SINGLE_RUN_MAX);
    for (const { name } of routes.config.pools) {
      const busyRatio = this.#busyRatio(name);
      const offeredRuns = offered.get(name);
      if (busyRatio !== undefined && offeredRuns !== undefined) {
        const level = this.#levels.step(name, {
          busyRatio,
          offered: offeredRuns,
          demandsOf: (priority) => this.#demands.demandsOf(name, priority),
          coordinated: this.#coordinate(name, {
            busyRatio,
            classesCount: offeredRuns.length,
            nowMs,
          }),
        });
        this.#logChange(name, Math.ceil(level), busyRatio);
      } else {
        this.#coordination.forgetFigures(name);
      }
      if (offeredRuns === undefined && this.#competing.has(name)) {
        this.#levels.forget(name);
      }
      this.#stepCompletion(name, {
        refusedRatio: this.#refusedRatio(name),
        retryRatio: this.#options.retryRatio * COMPLETION_RETRIES_RATIO,
        offered: offeredBySeveralRuns?.get(name) ?? [],
      });
    }
    this.#demands.decay();
  }

  /** Derives the admitted share of a scarce pool for which flows compete. */
  #coordinate(
    pool: string,
    { busyRatio, classesCount, nowMs }: {
      busyRatio: number;
      classesCount: number;
      nowMs: number;
    },
  ): CoordinatedLoad | undefined {
    const competing = this.#competing.get(pool);
    const isShedding = this.#levels.isShedding(pool);
    if (
      competing === undefined || !this.#options.coordinatesPools ||
      !this.#scarcePools.isScarce(pool, { busyRatio, isShedding }, nowMs)
    ) {
      this.#coordination.forgetFigures(pool);
      return undefined;
    }
    const offeredPerS = this.#rates.runsPerS(
      classesCount,
      (routeName) => this.#demands.runsByPool(routeName).get(pool) ?? 0,
    );
    return this.#coordination.step(pool, offeredPerS, { competing, nowMs });
  }

  #updateCompeting(nowMs: number): void {
    if (nowMs - this.#competingAtMs < COMPETING_INTERVAL_MS) {
      return;
    }
    this.#competingAtMs = nowMs;
    this.#competing = findCompetingPools(this.#demands.competingRoutes());
  }

  /** Adjusts the admission to a refusing pool, and logs when it begins or ends. */
  #stepCompletion(
    pool: string,
    load: PoolRefusals & { offered: readonly number[] },
  ): void {
    const wasLimited = this.isRefusing(pool);
    this.#completionLevels.step(pool, load);
    if (this.isRefusing(pool) !== wasLimited) {
      this.#options.log.info("Admission to a refusing pool changed", {
        pool,
        isLimited: !wasLimited,
        refusedRatio: load.refusedRatio,
      });
    }
  }

  /**
   * Share of the requests that the upstreams of a pool refuse; 0 for a pool for
   * which no requests compete.
   */
  #refusedRatio(pool: string): number {
    return this.#competing.has(pool)
      ? this.#meanOf(pool, (state) => state.refusedRatio) ?? 0
      : 0;
  }

  #busyRatio(pool: string): number | undefined {
    return this.#meanOf(pool, ({ busyRatio }) => busyRatio);
  }

  /**
   * Mean over the pool's serving upstreams, weighted by their limits; undefined
   * when none serves.
   */
  #meanOf(
    pool: string,
    valueOf: (state: UpstreamState) => number,
  ): number | undefined {
    let limitSum = 0;
    let sum = 0;
    for (const { state } of this.#options.channels.channelsOf(pool)) {
      if (state?.isServing === true) {
        limitSum += state.limitCount;
        sum += valueOf(state) * state.limitCount;
      }
    }
    return limitSum === 0 ? undefined : sum / limitSum;
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
      const { capacityPerS, offeredPerS } = this.figures(pool) ?? {};
      this.#options.log.info("Admission level changed class", {
        pool,
        classes,
        lastClasses: last,
        busyRatio,
        capacityPerS: capacityPerS && Math.round(capacityPerS),
        offeredPerS: offeredPerS?.map(Math.round).join(" "),
      });
    }
  }
}
