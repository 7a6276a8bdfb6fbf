/** Callers that choose among the upstreams of a pool, on a virtual clock. */
import { SeededRandom } from "../core/random.ts";
import { chooseUpstream } from "../decisions/placement/choose_upstream.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import { estimateOpenCount } from "../decisions/placement/open_estimate.ts";
import { UpstreamLoad } from "../link/upstream_channel.ts";
import {
  drawExponential,
  kneeDilation,
  SimulatedUpstream,
  STEP_MS,
} from "./upstream_simulation.ts";

const MS_PER_S = 1_000;
const WORK_MS = 15;
const CALLERS_COUNT = 59;
const SLOTS_COUNT = 39;
/** Interval and change at which limits are published; see `StatePublisher`. */
const PUBLISH_INTERVAL_MS = 300;
const PUBLISH_STEP_RATIO = 0.2;
/** Weight of the newest run in the mean run time that a caller keeps. */
const RUN_TIME_WEIGHT = 0.1;
const DEADLINE_MS = 600;
const RAMP_MS = 3_000;
const NEIGHBOUR_RATIO = 2.5;
const NEIGHBOUR_PHASE_MS = 600;
const NEIGHBOUR_PERIOD_MS = 4_000;

/** Options of {@link simulatePool}. */
export type PoolOptions = {
  readonly seed: number;
  readonly isLearning: boolean;
  readonly speeds: readonly number[];
  /** Running requests from which an upstream slows down; none by default. */
  readonly kneeCount?: number;
  readonly hasNeighbours?: boolean;
  /** Offered requests, as a share of what the pool can run. */
  readonly loadRatio: number;
  readonly durationMs: number;
  /** Time from which requests are counted. */
  readonly measuredFromMs: number;
  readonly goalMs: number;
};

/** What the callers got. */
export type PoolResult = {
  readonly withinGoalRatio: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  readonly failedRatio: number;
  /** Share of the requests that each upstream got. */
  readonly shares: readonly number[];
  readonly limitCounts: readonly number[];
};

type Caller = {
  readonly loads: UpstreamLoad[];
  readonly runTimes: (MovingAverage | undefined)[];
  readonly limitCounts: number[];
};

class PoolSimulation {
  readonly #options: PoolOptions;
  readonly #random: SeededRandom;
  readonly #upstreams: SimulatedUpstream[];
  readonly #callers: Caller[];
  readonly #times: number[] = [];
  readonly #sentCounts: number[];
  #failedCount = 0;

  constructor(options: PoolOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const dilation = options.kneeCount === undefined
      ? () => 1
      : kneeDilation(options.kneeCount, 4);
    this.#upstreams = options.speeds.map((speed) =>
      new SimulatedUpstream({
        speed,
        dilation,
        isNeighbourReported: options.hasNeighbours ?? false,
      }, options.isLearning)
    );
    this.#sentCounts = options.speeds.map(() => 0);
    this.#callers = Array.from({ length: CALLERS_COUNT }, () => ({
      loads: this.#upstreams.map(() => new UpstreamLoad()),
      runTimes: this.#upstreams.map(() => undefined),
      limitCounts: this.#upstreams.map(({ limitCount }) => limitCount),
    }));
  }

  run(): PoolResult {
    const { speeds, kneeCount, loadRatio, durationMs } = this.#options;
    const limit = kneeCount ?? Math.floor(0.95 * SLOTS_COUNT);
    const speedsSum = speeds.reduce((sum, speed) => sum + speed, 0);
    const perMs = loadRatio * limit * speedsSum / WORK_MS;
    for (let step = 1; step * STEP_MS <= durationMs; step++) {
      const nowMs = step * STEP_MS;
      let expected = perMs * STEP_MS * Math.min(1, nowMs / RAMP_MS);
      for (; expected > 0; expected--) {
        if (this.#random.nextFloat() < expected) {
          this.#send(nowMs);
        }
      }
      this.#stepUpstreams(nowMs);
    }
    return this.#result();
  }

  #stepUpstreams(nowMs: number): void {
    this.#upstreams.forEach((upstream, index) => {
      const phaseMs = (nowMs + index * MS_PER_S) % NEIGHBOUR_PERIOD_MS;
      upstream.behaviour.neighbourRatio =
        this.#options.hasNeighbours && phaseMs < NEIGHBOUR_PHASE_MS
          ? NEIGHBOUR_RATIO
          : 1;
      upstream.step(nowMs);
    });
    if (nowMs % PUBLISH_INTERVAL_MS === 0) {
      for (const { limitCounts } of this.#callers) {
        this.#upstreams.forEach(({ limitCount }, index) => {
          const known = limitCounts[index] as number;
          if (Math.abs(limitCount - known) > PUBLISH_STEP_RATIO * known) {
            limitCounts[index] = limitCount;
          }
        });
      }
    }
  }

  #send(nowMs: number): void {
    const random = this.#random;
    const caller = this.#callers[random.nextInt(CALLERS_COUNT)] as Caller;
    const index = this.#choose(caller);
    const upstream = this.#upstreams[index] as SimulatedUpstream;
    const load = caller.loads[index] as UpstreamLoad;
    load.pendingCount++;
    load.sentSinceReportCount++;
    const isMeasured = nowMs >= this.#options.measuredFromMs;
    this.#sentCounts[index]! += isMeasured ? 1 : 0;
    let startedAtMs = 0;
    upstream.send({
      routeName: "r",
      workMs: drawExponential(random, WORK_MS),
      expiresAtMs: nowMs + DEADLINE_MS,
      onStart: (atMs) => startedAtMs = atMs,
      onEnd: (endMs, isAnswered) => {
        load.pendingCount--;
        load.update([
          upstream.openCount,
          Math.round(upstream.capacity.expectedRunMs(endMs)),
          0,
        ]);
        if (isAnswered) {
          caller.runTimes[index] ??= new MovingAverage(
            RUN_TIME_WEIGHT,
            endMs - startedAtMs,
          );
          caller.runTimes[index].add(endMs - startedAtMs);
        }
        if (isMeasured && isAnswered) {
          this.#times.push(endMs - nowMs);
        }
        this.#failedCount += isMeasured && !isAnswered ? 1 : 0;
      },
    });
  }

  #choose({ loads, runTimes, limitCounts }: Caller): number {
    const candidates = loads.map((load, index) => ({
      isOwnDataCentre: true,
      isCold: false,
      isTrialDue: false,
      limitCount: limitCounts[index] as number,
      openCount: estimateOpenCount({
        ...load,
        reportAgeMs: 0,
        busyRatio: 0,
        limitCount: limitCounts[index] as number,
      }),
      meanRunMs: load.meanRunMs,
      routeRunMs: runTimes[index]?.value ?? 0,
      failureRatio: 0,
    }));
    return chooseUpstream(candidates, {
      random: this.#random,
      remotePenaltyMs: 0,
      remainingMs: DEADLINE_MS,
    });
  }

  #result(): PoolResult {
    const times = this.#times.sort((a, b) => a - b);
    const endedCount = times.length + this.#failedCount;
    const sentCount = this.#sentCounts.reduce((sum, count) => sum + count, 0);
    const inGoalCount = times.filter((ms) => ms <= this.#options.goalMs).length;
    return {
      withinGoalRatio: inGoalCount / endedCount,
      meanMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
      p99Ms: times[Math.floor(0.99 * times.length)] ?? NaN,
      failedRatio: this.#failedCount / endedCount,
      shares: this.#sentCounts.map((count) => count / sentCount),
      limitCounts: this.#upstreams.map(({ limitCount }) => limitCount),
    };
  }
}

/**
 * Plays 59 callers that choose among the upstreams of a pool.
 *
 * @param options Upstreams and load.
 * @returns What the callers got.
 */
export function simulatePool(options: PoolOptions): PoolResult {
  return new PoolSimulation(options).run();
}
