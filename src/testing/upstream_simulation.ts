/** Upstream behind a limit, on a virtual clock, for tests of limits. */
import type { RandomSource } from "../core/random.ts";
import {
  LearnedCapacity,
  type RunResult,
} from "../decisions/capacity/learned_capacity.ts";

const CONTROL_INTERVAL_MS = 100;
const MS_PER_S = 1_000;
/** Length of a step of the virtual clock, in ms. */
export const STEP_MS = 0.25;

/** Request to a simulated upstream. */
export type SimulatedRequest = {
  readonly routeName: string;
  /** Time at an idle upstream of speed 1, in ms. */
  readonly workMs: number;
  /** Time of its downstream calls, which precede the work, in ms. */
  readonly callsMs?: number;
  readonly result?: RunResult;
  /** Deadline; none by default. */
  readonly expiresAtMs?: number;
  readonly onStart?: (nowMs: number) => void;
  /** Called at its end, with whether it was answered in time. */
  readonly onEnd?: (nowMs: number, isAnswered: boolean) => void;
};

/** Behaviour of an upstream; the fields may be changed while it runs. */
export type UpstreamBehaviour = {
  slotsCount: number;
  /** Work per ms of an idle upstream. */
  speed: number;
  /** Slowdown by the number of running requests. */
  dilation: (runningCount: number) => number;
  /** Slowdown by other workloads of its machine. */
  neighbourRatio: number;
  /** Whether it reports that slowdown. */
  isNeighbourReported: boolean;
  /** Whether it is slow after its start, and says so. */
  isCold: boolean;
};

type Run = {
  readonly request: SimulatedRequest;
  readonly startedAtMs: number;
  readonly startedWorkMs: number;
  readonly runningAtStartCount: number;
  callsLeftMs: number;
  workLeftMs: number;
};

const COLD_RATIO = 3;

/**
 * Slowdown beyond a number of running requests.
 *
 * @param kneeCount Requests up to which runs are not slowed down.
 * @param slope Slowdown per further request, as a share of `kneeCount`.
 * @returns Slowdown by the number of running requests.
 */
export function kneeDilation(
  kneeCount: number,
  slope: number,
): (runningCount: number) => number {
  return (runningCount) =>
    1 + slope * Math.max(0, runningCount - kneeCount) / kneeCount;
}

/**
 * Draws an exponentially distributed time.
 *
 * @param random Random numbers.
 * @param meanMs Mean, in ms.
 * @returns Time, in ms.
 */
export function drawExponential(random: RandomSource, meanMs: number): number {
  return -Math.log(1 - random.nextFloat()) * meanMs;
}

/**
 * Draws a time between half and one and a half of the mean.
 *
 * @param random Random numbers.
 * @param meanMs Mean, in ms.
 * @returns Time, in ms.
 */
export function drawUniform(random: RandomSource, meanMs: number): number {
  return meanMs * (0.5 + random.nextFloat());
}

/** Upstream whose runs are slowed down alike, behind a queue with a limit. */
export class SimulatedUpstream {
  readonly behaviour: UpstreamBehaviour;
  readonly capacity = new LearnedCapacity();
  /** Requests that were answered in time. */
  answeredCount = 0;
  /** Lowest limit that applied, that of trials included. */
  lowestPresentCount = Infinity;
  readonly #isLearning: boolean;
  readonly #waiting: SimulatedRequest[] = [];
  readonly #running: Run[] = [];

  /**
   * @param behaviour Differences from a steady upstream of 39 slots.
   * @param isLearning Whether the learned limit applies, or the usual one.
   */
  constructor(behaviour: Partial<UpstreamBehaviour>, isLearning: boolean) {
    this.behaviour = {
      slotsCount: 39,
      speed: 1,
      dilation: () => 1,
      neighbourRatio: 1,
      isNeighbourReported: false,
      isCold: false,
      ...behaviour,
    };
    this.#isLearning = isLearning;
    const { slotsCount } = this.behaviour;
    this.capacity.setUpstream({ slotsCount, isNew: true }, 0);
  }

  /** Limit that is published to callers. */
  get limitCount(): number {
    return this.#isLearning
      ? this.capacity.limitCount
      : this.capacity.usualLimitCount;
  }

  /** Number of requests that run or wait. */
  get openCount(): number {
    return this.#running.length + this.#waiting.length;
  }

  /**
   * Takes a request.
   *
   * @param request Request to run.
   */
  send(request: SimulatedRequest): void {
    this.#waiting.push(request);
  }

  /**
   * Lets a step of virtual time pass.
   *
   * @param nowMs Time at its end, a multiple of its length.
   */
  step(nowMs: number): void {
    const { neighbourRatio, isNeighbourReported, isCold } = this.behaviour;
    this.capacity.setCold(isCold, nowMs);
    if (isNeighbourReported) {
      this.capacity.recordSlowdown(neighbourRatio, nowMs - STEP_MS);
    }
    this.#endRuns(nowMs);
    if (nowMs % CONTROL_INTERVAL_MS === 0) {
      this.capacity.tick(nowMs);
    }
    this.#startRuns(nowMs);
  }

  #endRuns(nowMs: number): void {
    const { speed, dilation, neighbourRatio, isCold } = this.behaviour;
    const slowdown = dilation(this.#running.length) * neighbourRatio *
      (isCold ? COLD_RATIO : 1);
    const ended = this.#running.filter((run) => {
      if (run.callsLeftMs > 0) {
        run.callsLeftMs -= STEP_MS;
      } else {
        run.workLeftMs -= STEP_MS * speed / slowdown;
      }
      return run.workLeftMs <= 0 || isExpired(run.request, nowMs);
    });
    for (const run of ended) {
      this.#end(run, nowMs);
      this.#running.splice(this.#running.indexOf(run), 1);
    }
  }

  #startRuns(nowMs: number): void {
    const presentCount = this.#isLearning
      ? this.capacity.presentLimitCount(nowMs)
      : this.capacity.usualLimitCount;
    this.lowestPresentCount = Math.min(this.lowestPresentCount, presentCount);
    while (this.#running.length < presentCount && this.#waiting.length > 0) {
      const next = this.#waiting.shift() as SimulatedRequest;
      if (isExpired(next, nowMs)) {
        next.onEnd?.(nowMs, false);
      } else {
        this.#start(next, nowMs);
      }
    }
  }

  #start(request: SimulatedRequest, nowMs: number): void {
    request.onStart?.(nowMs);
    this.#running.push({
      request,
      startedAtMs: nowMs,
      startedWorkMs: this.capacity.startRun(nowMs),
      runningAtStartCount: this.#running.length + 1,
      callsLeftMs: request.callsMs ?? 0,
      workLeftMs: request.workMs,
    });
  }

  #end(run: Run, nowMs: number): void {
    const { request, startedAtMs, startedWorkMs, runningAtStartCount } = run;
    const result = isExpired(request, nowMs)
      ? "overdue"
      : request.result ?? "answered";
    this.answeredCount += result === "answered" ? 1 : 0;
    this.capacity.recordRun({
      routeName: request.routeName,
      runMs: nowMs - startedAtMs,
      callsMs: request.callsMs ?? 0,
      startedWorkMs,
      runningAtStartCount,
      runningAtEndCount: this.#running.length,
      result,
      nowMs,
    });
    request.onEnd?.(nowMs, result === "answered");
  }
}

/** Options of {@link playLoad}. */
export type PlayOptions = {
  readonly random: RandomSource;
  readonly durationMs: number;
  /** Requests per second at a time. */
  readonly ratePerS: (nowMs: number) => number;
  readonly createRequest: (random: RandomSource) => SimulatedRequest;
  /** Called at each step, to change the behaviour or to observe it. */
  readonly onStep?: (nowMs: number) => void;
};

/** Open requests above which further ones are dropped, as by admission. */
const OPEN_MAX_COUNT = 80;

/**
 * Sends requests at random times to an upstream.
 *
 * @param upstream Upstream to load.
 * @param options Load and duration.
 */
export function playLoad(
  upstream: SimulatedUpstream,
  { random, durationMs, ratePerS, createRequest, onStep }: PlayOptions,
): void {
  for (let step = 1; step * STEP_MS <= durationMs; step++) {
    const nowMs = step * STEP_MS;
    onStep?.(nowMs);
    let expected = ratePerS(nowMs) * STEP_MS / MS_PER_S;
    for (; expected > 0; expected--) {
      if (random.nextFloat() < expected) {
        const request = createRequest(random);
        if (upstream.openCount < OPEN_MAX_COUNT) {
          upstream.send(request);
        }
      }
    }
    upstream.step(nowMs);
  }
}

function isExpired({ expiresAtMs }: SimulatedRequest, nowMs: number): boolean {
  return expiresAtMs !== undefined && nowMs >= expiresAtMs;
}
