/** Admitted shares of the pools for which flows of one class compete. */
import type { RandomSource } from "../core/random.ts";
import { CoordinatedRatio } from "../decisions/sharing/coordinated_ratio.ts";
import type { CompetingPool } from "../decisions/sharing/competing_pools.ts";
import type { CoordinatedLoad } from "../decisions/sharing/entry_levels.ts";
import {
  combineFigures,
  type PoolFigures,
} from "../decisions/sharing/pool_figures.ts";
import type { UpstreamChannel } from "../link/upstream_channel.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ChannelTable } from "./channel_table.ts";

/**
 * Interval of the reports to a daemon that has not answered. It may be of an
 * earlier version, or more daemons may report to it than it answers.
 */
const UNANSWERED_INTERVAL_MS = 1_000;

/** Minimum time between two lines about a pool. */
const LOG_INTERVAL_MS = 10_000;

type CoordinatedPool = {
  readonly ratio: CoordinatedRatio;
  figures: PoolFigures | undefined;
  loggedIsCoordinated: boolean;
  loggedAtMs: number;
};

/** Sums runs by class such that the last class has those of further ones. */
function fitClasses(perS: readonly number[], classesCount: number): number[] {
  const fitted = new Array<number>(classesCount).fill(0);
  perS.forEach((runs, priority) => {
    fitted[Math.min(priority, classesCount - 1)]! += runs;
  });
  return fitted;
}

/** Reports offered runs and derives the admitted shares from the answers. */
export class PoolCoordination {
  readonly #channels: ChannelTable;
  readonly #log: Logger;
  readonly #random: RandomSource;
  readonly #pools = new Map<string, CoordinatedPool>();
  readonly #reportedAtMs = new WeakMap<UpstreamChannel, number>();

  /**
   * @param channels Channels to the upstreams.
   * @param options Random numbers, and the log that receives a line when a pool
   *   begins or ceases to be coordinated.
   */
  constructor(
    channels: ChannelTable,
    { random, log }: { random: RandomSource; log: Logger },
  ) {
    this.#channels = channels;
    this.#random = random;
    this.#log = log;
  }

  /**
   * Returns the last figures of a pool.
   *
   * @param pool Name of the pool.
   * @returns Capacity and offered runs; undefined while the busy ratio controls
   *   its admission.
   */
  figures(pool: string): PoolFigures | undefined {
    return this.#pools.get(pool)?.figures;
  }

  /**
   * Forgets the last figures of a pool that this daemon offers no runs to or
   * that has no serving upstream, because they are not updated any more.
   *
   * @param pool Name of the pool.
   */
  forgetFigures(pool: string): void {
    const coordinated = this.#pools.get(pool);
    if (coordinated !== undefined) {
      coordinated.figures = undefined;
    }
  }

  /**
   * Reports the offered runs of this daemon, when that is due, and computes the
   * admitted share of a pool. Called once per control interval.
   *
   * @param name Name of the pool.
   * @param offeredPerS Runs per second that callers offer here, by class.
   * @param options What competes for the pool, and the monotonic time in ms.
   * @returns Admitted share; undefined when the busy ratio must be used.
   */
  step(
    name: string,
    offeredPerS: readonly number[],
    { competing, nowMs }: { competing: CompetingPool; nowMs: number },
  ): CoordinatedLoad | undefined {
    const serving = [...this.#channels.channelsOf(name)]
      .filter(({ state }) => state?.isServing === true);
    for (const channel of serving) {
      this.#report(channel, offeredPerS, nowMs);
    }
    const figures = combineFigures(
      serving.map(({ figures, state }) => ({
        figures,
        limitCount: state?.limitCount ?? 0,
      })),
      nowMs,
    );
    const pool = this.#poolOf(name);
    pool.figures = figures;
    this.#logChange(name, pool, nowMs);
    return figures && {
      admittedRatio: pool.ratio.step(figures, competing.shortestGoalMs),
      offered: fitClasses(figures.offeredPerS, offeredPerS.length),
    };
  }

  #report(
    channel: UpstreamChannel,
    offeredPerS: readonly number[],
    nowMs: number,
  ): void {
    const intervalMs = channel.figures?.reportIntervalMs ??
      UNANSWERED_INTERVAL_MS;
    const reportedAtMs = this.#reportedAtMs.get(channel) ?? -Infinity;
    if (nowMs - reportedAtMs >= intervalMs) {
      this.#reportedAtMs.set(channel, nowMs);
      // Rounded to the nearest integer, the small parts of many daemons would
      // all be reported as 0.
      channel.reportOffer?.(
        offeredPerS.map((perS) => Math.floor(perS + this.#random.nextFloat())),
      );
    }
  }

  #poolOf(name: string): CoordinatedPool {
    let pool = this.#pools.get(name);
    if (pool === undefined) {
      pool = {
        ratio: new CoordinatedRatio(),
        figures: undefined,
        loggedIsCoordinated: false,
        loggedAtMs: -Infinity,
      };
      this.#pools.set(name, pool);
    }
    return pool;
  }

  #logChange(name: string, pool: CoordinatedPool, nowMs: number): void {
    const isCoordinated = pool.figures !== undefined;
    if (
      isCoordinated === pool.loggedIsCoordinated ||
      nowMs - pool.loggedAtMs < LOG_INTERVAL_MS
    ) {
      return;
    }
    pool.loggedIsCoordinated = isCoordinated;
    pool.loggedAtMs = nowMs;
    this.#log.info("Pool coordination changed", { pool: name, isCoordinated });
  }
}
