/**
 * Capacity and offered load of a pool, from the figures of its upstreams.
 * Answers the loss of an upstream: its part of the capacity is removed at once.
 */
import {
  addByClass,
  FIGURES_MAX_AGE_MS,
  type OfferedPerS,
} from "./pool_offers.ts";

const MS_PER_S = 1_000;

/** What the daemon beside an upstream knows of its pool. */
export type UpstreamFigures = {
  /** Runs per second that the upstream can run. */
  readonly capacityPerS: number;
  /** Running and waiting requests per slot. */
  readonly busyRatio: number;
  /** Runs that all daemons with a link to this one offer to the pool. */
  readonly offeredPerS: OfferedPerS;
  /** Time after which the daemon expects the next report of offers, in ms. */
  readonly reportIntervalMs: number;
  /** Monotonic time at which they were asked for, in ms. */
  readonly atMs: number;
};

/** An upstream that takes requests. */
export type FiguredUpstream = {
  /** Last figures; undefined when its daemon has never sent any. */
  readonly figures: UpstreamFigures | undefined;
  /** Concurrency limit. */
  readonly limitCount: number;
};

/** Figures of a whole pool. */
export type PoolFigures = {
  readonly capacityPerS: number;
  readonly offeredPerS: OfferedPerS;
  /** Share of the limits in use, at most 1. */
  readonly usedRatio: number;
  /** Expected wait of a run, in ms. */
  readonly waitMs: number;
};

/**
 * Combines the figures of the upstreams that one daemon reaches. The sums of
 * offers are averaged, because each daemon reports to all upstreams that it
 * uses. An upstream whose figures are old is taken for lost or paused.
 *
 * @param upstreams Upstreams that take requests.
 * @param nowMs Monotonic time, in ms.
 * @returns Figures of the pool; undefined when the busy ratio must be used,
 *   because a daemon of an earlier version sends none or all are too old.
 */
export function combineFigures(
  upstreams: readonly FiguredUpstream[],
  nowMs: number,
): PoolFigures | undefined {
  let offered: number[] = [];
  let capacityPerS = 0;
  let limitSum = 0;
  let usedSum = 0;
  let waitingSum = 0;
  let freshCount = 0;
  for (const { figures, limitCount } of upstreams) {
    if (figures === undefined) {
      return undefined;
    }
    if (nowMs - figures.atMs > FIGURES_MAX_AGE_MS) {
      continue;
    }
    freshCount++;
    offered = addByClass(offered, figures.offeredPerS);
    capacityPerS += figures.capacityPerS;
    limitSum += limitCount;
    usedSum += Math.min(1, figures.busyRatio) * limitCount;
    waitingSum += Math.max(0, figures.busyRatio - 1) * limitCount;
  }
  if (freshCount === 0 || capacityPerS <= 0 || limitSum <= 0) {
    return undefined;
  }
  return {
    capacityPerS,
    offeredPerS: offered.map((perS) => perS / freshCount),
    usedRatio: usedSum / limitSum,
    waitMs: waitingSum * MS_PER_S / capacityPerS,
  };
}
