/**
 * Chooses the upstream of a pool for a request. It answers uneven demand: waves
 * and losses that differ between data centres, upstreams that join cold, and
 * upstreams of different speed.
 */
import type { RandomSource } from "../../core/random.ts";

/** Properties of one upstream on which the choice depends. */
export type UpstreamCandidate = {
  readonly isOwnDataCentre: boolean;
  /** Whether the upstream is still slow after its start. */
  readonly isCold: boolean;
  /** Whether it is to get a request although another one seems better. */
  readonly isTrialDue: boolean;
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
  /** Time until the deadline, in ms. */
  remainingMs: number;
};

/**
 * Share of busy slots above which a further request is slowed down. Other data
 * centres are used up to it, so that their own callers are not displaced in turn.
 */
const BUSY_RATIO = 0.75;
/** A cold upstream takes about twice as long. */
const COLD_FACTOR = 2;
/** Share of its limit, and of an equal share of requests, for a cold upstream. */
const COLD_SHARE_RATIO = 0.25;
/** Cost of a failure relative to a run; a retry costs more than the run. */
const FAILURE_COST = 4;
/** Random spread that keeps daemons from choosing the same upstream at once. */
const SPREAD_RATIO = 0.08;
/** Pool size above which upstreams of other data centres are sampled. */
const UNSAMPLED_MAX_COUNT = 12;
/**
 * Mean run times that must fit into the remaining time for the own data centre to
 * come first. Run times vary, so with fewer of them some requests would be late.
 */
const RUNS_IN_TIME_MIN_COUNT = 4;
/**
 * Factor of the cost of other data centres when no upstream has room. Without it
 * requests cross between data centres whose queues differ only by chance.
 */
const DISPLACED_FACTOR = 1.3;
/**
 * Excess over the limit, as a share of it, at which all requests leave the own
 * data centre. A smaller excess lets a smaller share of them leave, since it lasts
 * for a few runs only, and all callers see it at once.
 */
const LEAVING_EXCESS_RATIO = 0.5;
/** Share of failed requests above which the own data centre does not come first. */
const FAILURE_MAX_RATIO = 0.1;

/**
 * Estimates the cost of a request at an upstream.
 *
 * @param candidate Properties of the upstream.
 * @param options Cost of another data centre, and run time when it is unknown.
 * @returns Expected time until the answer with penalties, in ms.
 */
export function expectedCostMs(
  candidate: UpstreamCandidate,
  options: { remotePenaltyMs: number; unknownRunMs?: number },
): number {
  const { unknownRunMs = 0 } = options;
  const coldFactor = candidate.isCold ? COLD_FACTOR : 1;
  const meanRunMs = candidate.meanRunMs || unknownRunMs;
  const runMs = (candidate.routeRunMs || meanRunMs) * coldFactor;
  const limit = Math.max(1, candidate.limitCount);
  const next = candidate.openCount + 1;
  const slowedMs = Math.max(0, next / limit - BUSY_RATIO) * meanRunMs;
  const waitMs = Math.max(0, next - limit) * meanRunMs / limit;
  const failureMs = candidate.failureRatio * FAILURE_COST * (runMs + waitMs);
  const remoteMs = candidate.isOwnDataCentre ? 0 : options.remotePenaltyMs;
  return runMs + slowedMs + 2 * waitMs + failureMs + remoteMs;
}

/** One choice among the upstreams of a pool. */
class UpstreamChoice {
  readonly #candidates: readonly UpstreamCandidate[];
  readonly #options: ChooseUpstreamOptions;
  /** Run time of an upstream of which none is known, in ms. */
  readonly #unknownRunMs: number;
  readonly #hasWarm: boolean;
  readonly #hasCold: boolean;
  readonly #ownCount: number;
  #isOwnUnfit = false;

  constructor(
    candidates: readonly UpstreamCandidate[],
    options: ChooseUpstreamOptions,
  ) {
    this.#candidates = candidates;
    this.#options = options;
    let sumMs = 0;
    let knownCount = 0;
    let ownCount = 0;
    let hasWarm = false;
    let hasCold = false;
    for (const candidate of candidates) {
      const runMs = candidate.routeRunMs || candidate.meanRunMs;
      sumMs += runMs;
      knownCount += runMs > 0 ? 1 : 0;
      ownCount += candidate.isOwnDataCentre ? 1 : 0;
      hasWarm ||= !candidate.isCold;
      hasCold ||= candidate.isCold;
    }
    this.#ownCount = ownCount;
    this.#hasWarm = hasWarm;
    this.#hasCold = hasCold;
    // With a cost of 0, all daemons would send to an unknown upstream at once.
    this.#unknownRunMs = this.isUneven ? sumMs / Math.max(1, knownCount) : 0;
  }

  /**
   * Whether {@link own} has found room that it does not use, because the upstream
   * is too slow for the remaining time or fails.
   */
  get isOwnUnfit(): boolean {
    return this.#isOwnUnfit;
  }

  /**
   * Whether upstreams are in several data centres, or only some of them are cold.
   * Otherwise the cost alone decides.
   */
  get isUneven(): boolean {
    const hasOwn = this.#ownCount > 0;
    const hasRemote = this.#ownCount < this.#candidates.length;
    return hasOwn && (hasRemote || (this.#hasWarm && this.#hasCold));
  }

  /** Index of an upstream whose trial is due, at random; -1 without any. */
  trial(): number {
    const { random } = this.#options;
    let chosen = -1;
    let dueCount = 0;
    for (let index = 0; index < this.#candidates.length; index++) {
      const candidate = this.#candidates[index] as UpstreamCandidate;
      const isUsable = candidate.isTrialDue &&
        this.#roomCount(candidate, 1) >= 1 &&
        candidate.failureRatio <= FAILURE_MAX_RATIO;
      if (isUsable && random.nextInt(++dueCount) === 0) {
        chosen = index;
      }
    }
    return chosen;
  }

  /**
   * Index of the cheapest upstream of the own data centre; -1 when a request is
   * to leave the data centre, or when the upstreams there are too slow or fail.
   */
  own(): number {
    const { random, remainingMs } = this.#options;
    let best = -1;
    let bestCost = Infinity;
    let cold = -1;
    let excessRatio = Infinity;
    for (let index = 0; index < this.#candidates.length; index++) {
      const candidate = this.#candidates[index] as UpstreamCandidate;
      if (!candidate.isOwnDataCentre) {
        continue;
      }
      const isUnfit = candidate.failureRatio > FAILURE_MAX_RATIO ||
        this.#runMs(candidate) * RUNS_IN_TIME_MIN_COUNT > remainingMs;
      const roomCount = this.#roomCount(candidate, 1);
      if (isUnfit) {
        this.#isOwnUnfit ||= roomCount >= 1;
        continue;
      }
      if (this.#isRampedUp(candidate)) {
        if (roomCount < 1) {
          continue;
        }
        if (random.nextFloat() < COLD_SHARE_RATIO / this.#ownCount) {
          return index;
        }
        cold = index;
        continue;
      }
      const limit = Math.max(1, candidate.limitCount);
      excessRatio = Math.min(excessRatio, (1 - roomCount) / limit);
      const cost = this.#spreadCostMs(candidate);
      if (cost < bestCost) {
        best = index;
        bestCost = cost;
      }
    }
    const isLeaving = random.nextFloat() * LEAVING_EXCESS_RATIO < excessRatio;
    return isLeaving ? cold : best;
  }

  /**
   * Index of an upstream of another data centre that has room, each with a
   * probability proportional to the requests that it has room for per time; -1
   * without any.
   */
  remote(): number {
    const { random } = this.#options;
    let chosen = -1;
    let sum = 0;
    for (let index = 0; index < this.#candidates.length; index++) {
      const candidate = this.#candidates[index] as UpstreamCandidate;
      const roomCount = this.#roomCount(candidate, BUSY_RATIO);
      const isUsable = !candidate.isOwnDataCentre && roomCount >= 1 &&
        candidate.failureRatio <= FAILURE_MAX_RATIO;
      if (isUsable) {
        const weight = roomCount / Math.max(1, this.#runMs(candidate));
        sum += weight;
        if (random.nextFloat() * sum < weight) {
          chosen = index;
        }
      }
    }
    return chosen;
  }

  /** Index of the cheapest upstream; others than the own ones may be sampled. */
  cheapest(): number {
    const { random } = this.#options;
    const { length } = this.#candidates;
    let best = -1;
    let bestCost = Infinity;
    for (let index = 0; index < length; index++) {
      const candidate = this.#candidates[index] as UpstreamCandidate;
      const isSkipped = length > UNSAMPLED_MAX_COUNT &&
        !candidate.isOwnDataCentre &&
        random.nextFloat() > UNSAMPLED_MAX_COUNT / length;
      if (isSkipped) {
        continue;
      }
      const factor = candidate.isOwnDataCentre || this.#isOwnUnfit
        ? 1
        : DISPLACED_FACTOR;
      const cost = this.#spreadCostMs(candidate) * factor;
      if (cost < bestCost) {
        best = index;
        bestCost = cost;
      }
    }
    return best < 0 && length > 0 ? random.nextInt(length) : best;
  }

  /** Further requests that an upstream can take below a share of its limit. */
  #roomCount(candidate: UpstreamCandidate, ratio: number): number {
    const coldRatio = this.#isRampedUp(candidate) ? COLD_SHARE_RATIO : 1;
    const limit = Math.max(1, candidate.limitCount * ratio * coldRatio);
    return limit - candidate.openCount;
  }

  /** A pool of which all upstreams are cold is not spared. */
  #isRampedUp({ isCold }: UpstreamCandidate): boolean {
    return isCold && this.#hasWarm;
  }

  #runMs({ routeRunMs, meanRunMs }: UpstreamCandidate): number {
    return routeRunMs || meanRunMs || this.#unknownRunMs;
  }

  #spreadCostMs(candidate: UpstreamCandidate): number {
    const { random, remotePenaltyMs } = this.#options;
    return expectedCostMs(candidate, {
      remotePenaltyMs,
      unknownRunMs: this.#unknownRunMs,
    }) * (1 + SPREAD_RATIO * random.nextFloat());
  }
}

/**
 * Chooses an upstream of the own data centre that has room under its limit,
 * otherwise one of another data centre with room, in shares, and otherwise the
 * one with the lowest expected cost. An upstream whose trial is due comes first.
 *
 * @param candidates Upstreams that may run the request.
 * @param options Random numbers, cost of another data centre, remaining time.
 * @returns Index of the choice; -1 without upstreams.
 *
 * @example
 * chooseUpstream(candidates, { random, remotePenaltyMs: 15, remainingMs: 700 });
 */
export function chooseUpstream(
  candidates: readonly UpstreamCandidate[],
  options: ChooseUpstreamOptions,
): number {
  const choice = new UpstreamChoice(candidates, options);
  const trial = choice.trial();
  if (trial >= 0) {
    return trial;
  }
  if (!choice.isUneven) {
    return choice.cheapest();
  }
  const own = choice.own();
  if (own >= 0) {
    return own;
  }
  const remote = choice.isOwnUnfit ? -1 : choice.remote();
  return remote >= 0 ? remote : choice.cheapest();
}
