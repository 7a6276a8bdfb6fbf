/** Chooses the upstream with the lowest expected cost for a request. */
import type { RandomSource } from "../core/random.ts";

/** Properties of one upstream on which the choice depends. */
export type UpstreamCandidate = {
  readonly isOwnDataCentre: boolean;
  readonly isCold: boolean;
  /** Largest number of concurrent requests. */
  readonly limitCount: number;
  /** Estimated number of running and waiting requests. */
  readonly openCount: number;
  /** Mean time of requests of all routes, in ms; 0 when unknown. */
  readonly meanRunMs: number;
  /** Mean time of requests of the route, in ms; 0 when unknown. */
  readonly routeRunMs: number;
  /** Share of requests that fail. */
  readonly failureRatio: number;
};

/** Options of {@link chooseUpstream}. */
export type ChooseUpstreamOptions = {
  random: RandomSource;
  /** Cost that is added for another data centre, in ms. */
  remotePenaltyMs: number;
};

/** Share of busy slots above which a further request is slowed down. */
const BUSY_RATIO = 0.75;
/** A cold upstream takes about twice as long. */
const COLD_FACTOR = 2;
/** Cost of a failure relative to a run; a retry costs more than the run. */
const FAILURE_COST = 4;
/** Random spread that keeps daemons from choosing the same upstream at once. */
const SPREAD_RATIO = 0.08;
/** Pool size above which upstreams of other data centres are sampled. */
const UNSAMPLED_MAX_COUNT = 12;

/**
 * Estimates the cost of a request at an upstream.
 *
 * @param view Properties of the upstream.
 * @param options Cost of another data centre.
 * @returns Expected time until the answer with penalties, in ms.
 */
export function expectedCostMs(
  view: UpstreamCandidate,
  options: Pick<ChooseUpstreamOptions, "remotePenaltyMs">,
): number {
  const coldFactor = view.isCold ? COLD_FACTOR : 1;
  const runMs = (view.routeRunMs || view.meanRunMs) * coldFactor;
  const limit = Math.max(1, view.limitCount);
  const next = view.openCount + 1;
  const slowedMs = Math.max(0, next / limit - BUSY_RATIO) * view.meanRunMs;
  const waitMs = Math.max(0, next - limit) * view.meanRunMs / limit;
  const failureMs = view.failureRatio * FAILURE_COST * (runMs + waitMs);
  const remoteMs = view.isOwnDataCentre ? 0 : options.remotePenaltyMs;
  return runMs + slowedMs + 2 * waitMs + failureMs + remoteMs;
}

/**
 * Chooses the upstream with the lowest expected cost. In large pools, upstreams
 * of other data centres are sampled.
 *
 * @param views Upstreams that may run the request.
 * @param options Random numbers and cost of another data centre.
 * @returns Index of the choice; -1 without upstreams.
 *
 * @example
 * choosePath(views, { random, remotePenaltyMs: 15 });
 */
export function chooseUpstream(
  views: readonly UpstreamCandidate[],
  options: ChooseUpstreamOptions,
): number {
  const { random } = options;
  let best = -1;
  let bestCost = Infinity;
  const isSampled = views.length > UNSAMPLED_MAX_COUNT;
  for (let index = 0; index < views.length; index++) {
    const view = views[index] as UpstreamCandidate;
    const isSkipped = isSampled && !view.isOwnDataCentre &&
      random.nextFloat() > UNSAMPLED_MAX_COUNT / views.length;
    if (isSkipped) {
      continue;
    }
    const spread = 1 + SPREAD_RATIO * random.nextFloat();
    const cost = expectedCostMs(view, options) * spread;
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best < 0 && views.length > 0 ? random.nextInt(views.length) : best;
}
