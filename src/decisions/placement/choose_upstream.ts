/** Chooses the upstream with the lowest expected cost for a request. */
import type { RandomSource } from "../../core/random.ts";

/** Properties of one upstream on which the choice depends. */
export type UpstreamCandidate = {
  readonly isOwnDataCentre: boolean;
  /** Whether the upstream is still slow after its start. */
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
 * @param candidate Properties of the upstream.
 * @param options Cost of another data centre.
 * @returns Expected time until the answer with penalties, in ms.
 */
export function expectedCostMs(
  candidate: UpstreamCandidate,
  options: Pick<ChooseUpstreamOptions, "remotePenaltyMs">,
): number {
  const coldFactor = candidate.isCold ? COLD_FACTOR : 1;
  const runMs = (candidate.routeRunMs || candidate.meanRunMs) * coldFactor;
  const limit = Math.max(1, candidate.limitCount);
  const next = candidate.openCount + 1;
  const slowedMs = Math.max(0, next / limit - BUSY_RATIO) * candidate.meanRunMs;
  const waitMs = Math.max(0, next - limit) * candidate.meanRunMs / limit;
  const failureMs = candidate.failureRatio * FAILURE_COST * (runMs + waitMs);
  const remoteMs = candidate.isOwnDataCentre ? 0 : options.remotePenaltyMs;
  return runMs + slowedMs + 2 * waitMs + failureMs + remoteMs;
}

/**
 * Chooses the upstream with the lowest expected cost. In large pools, all
 * upstreams of the own data centre and a random part of the others are compared.
 *
 * @param candidates Upstreams that may run the request.
 * @param options Random numbers and cost of another data centre.
 * @returns Index of the choice; -1 without upstreams.
 *
 * @example
 * chooseUpstream(candidates, { random, remotePenaltyMs: 15 });
 */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
  options: ChooseUpstreamOptions,
): number {
  const { random } = options;
  let best = -1;
  let bestCost = Infinity;
  const isSampled = candidates.length > UNSAMPLED_MAX_COUNT;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = candidates[index] as UpstreamCandidate;
    const isSkipped = isSampled && !candidate.isOwnDataCentre &&
      random.nextFloat() > UNSAMPLED_MAX_COUNT / candidates.length;
    if (isSkipped) {
      continue;
    }
    const spread = 1 + SPREAD_RATIO * random.nextFloat();
    const cost = expectedCostMs(candidate, options) * spread;
    if (cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best < 0 && candidates.length > 0
    ? random.nextInt(candidates.length)
    : best;
}
