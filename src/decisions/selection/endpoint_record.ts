/** State that a calling daemon keeps about one upstream. */
import { loadChart } from "../../charts/load_chart.ts";
import { StateMachine } from "../../charts/state_machine.ts";
import type { LoadState } from "../admission/admission_policy.ts";
import { RANKS_COUNT } from "../admission/importance.ts";
import type { Endpoint } from "./upstream_directory.ts";
import type { AttemptResult } from "./upstream_selector.ts";

const EJECTION_FAILURES_COUNT = 5;
const EJECTION_MS = 5_000;
const EJECTION_MAX_MS = 40_000;
const PENALTY_TIME_CONSTANT_MS = 5_000;
/** Penalty of a failure; it counts like a load of half the limit. */
const FAILURE_PENALTY = 0.5;
/**
 * Smaller penalties count as 0; otherwise an idle pool would never use a
 * recovered upstream.
 */
const PENALTY_MIN = 0.01;
const LOAD_TIME_CONSTANT_MS = 1_000;
/** Time after which a level expires unless an answer has renewed it. */
const LEVEL_EXPIRY_MS = 1_000;
const COLD_WEIGHT_MIN = 0.1;

/** State of the pool on which the ejection of one upstream depends. */
export type EjectionContext = {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Whether the pool allows one more ejection. */
  readonly isEjectionAllowed: boolean;
};

/** Own attempts, load and ejection of one incarnation of an upstream. */
export class EndpointRecord {
  readonly incarnationEpochMs: number;
  readonly #joinedMs: number;
  readonly #slotsCount: number;
  readonly #machine: StateMachine;
  #openAttemptsCount = 0;
  #load: LoadState | undefined;
  #loadMs = 0;
  #penalty = 0;
  #penaltyMs = 0;
  #failuresCount = 0;
  #ejectionsCount = 0;
  #ejectedUntilMs = 0;

  /**
   * @param endpoint Upstream as the directory lists it.
   */
  constructor(endpoint: Endpoint) {
    this.incarnationEpochMs = endpoint.incarnationEpochMs;
    this.#joinedMs = endpoint.joinedMs;
    this.#slotsCount = endpoint.slotsCount;
    this.#machine = new StateMachine(EJECTION_CHART, this);
  }

  /** Attempts of this daemon that have not ended. */
  get openAttemptsCount(): number {
    return this.#openAttemptsCount;
  }

  /** Counts an attempt that was sent. */
  start(): void {
    this.#openAttemptsCount++;
  }

  /**
   * Records the end of an attempt.
   *
   * @param result Result with the load that the answer reported.
   * @param context Time, and whether the pool allows an ejection.
   */
  finish(result: AttemptResult, context: EjectionContext): void {
    this.#openAttemptsCount = Math.max(0, this.#openAttemptsCount - 1);
    if (result.load !== undefined) {
      this.#load = result.load;
      this.#loadMs = context.nowMs;
    }
    if (result.result === "succeeded") {
      this.#machine.send("succeeded");
    }
    if (result.result === "failed") {
      this.#machine.send("failed", context);
    }
  }

  /**
   * Returns whether the upstream is ejected, and ends an expired ejection.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns True while nothing is sent to the upstream.
   */
  isEjected(nowMs: number): boolean {
    if (!this.#machine.is("ejected")) {
      return false;
    }
    if (nowMs < this.#ejectedUntilMs) {
      return true;
    }
    this.#machine.send("ejectionEnded");
    return false;
  }

  /**
   * Returns the level that the upstream reported last.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Level; 512 when none is known or the last one has expired.
   */
  levelRank(nowMs: number): number {
    return this.#load === undefined || nowMs - this.#loadMs > LEVEL_EXPIRY_MS
      ? RANKS_COUNT
      : this.#load.levelRank;
  }

  /**
   * Computes the ratio of the own and the reported requests to the limit. The
   * limit of a new upstream is scaled down at first (slow start).
   *
   * @param nowMs Monotonic time, in ms.
   * @param coldStartMs Time over which a new upstream gets its full weight.
   * @returns Load ratio; the upstream is saturated from 1 on.
   */
  loadRatio(nowMs: number, coldStartMs: number): number {
    const limitCount = Math.max(1, this.#load?.limitCount ?? this.#slotsCount);
    const requests = this.#openAttemptsCount + this.#reportedCount(nowMs);
    return requests / (limitCount * this.#weight(nowMs, coldStartMs));
  }

  /**
   * Computes the score by which two candidates are compared.
   *
   * @param nowMs Monotonic time, in ms.
   * @param coldStartMs Time over which a new upstream gets its full weight.
   * @returns Score; lower is better.
   */
  score(nowMs: number, coldStartMs: number): number {
    const limitCount = Math.max(1, this.#load?.limitCount ?? this.#slotsCount);
    const requests = this.#openAttemptsCount + 1 + this.#reportedCount(nowMs);
    const ratio = requests / limitCount + this.#penaltyAt(nowMs);
    return ratio / this.#weight(nowMs, coldStartMs);
  }

  /** Chart guard: enough consecutive failures, and the pool allows it. */
  mayEject(context: EjectionContext): boolean {
    return context.isEjectionAllowed &&
      this.#failuresCount + 1 >= EJECTION_FAILURES_COUNT;
  }

  /** Chart action: counts a failure and adds the penalty. */
  countFailure(context: EjectionContext): void {
    this.#failuresCount++;
    this.#penalty = this.#penaltyAt(context.nowMs) + FAILURE_PENALTY;
    this.#penaltyMs = context.nowMs;
  }

  /** Chart action: starts an ejection, each twice as long, up to 40 s. */
  startEjection(context: EjectionContext): void {
    const durationMs = EJECTION_MS * 2 ** this.#ejectionsCount;
    this.#ejectionsCount++;
    this.#ejectedUntilMs = context.nowMs +
      Math.min(durationMs, EJECTION_MAX_MS);
  }

  /** Chart action: resets the count of consecutive failures. */
  clearFailures(): void {
    this.#failuresCount = 0;
  }

  /** Chart action: resets the duration of the next ejection. */
  clearEjections(): void {
    this.#ejectionsCount = 0;
  }

  #reportedCount(nowMs: number): number {
    if (this.#load === undefined) {
      return 0;
    }
    const { inFlightCount, queuedCount } = this.#load;
    const ageMs = nowMs - this.#loadMs;
    return (inFlightCount + queuedCount) *
      Math.exp(-ageMs / LOAD_TIME_CONSTANT_MS);
  }

  #penaltyAt(nowMs: number): number {
    const penalty = this.#penalty *
      Math.exp(-(nowMs - this.#penaltyMs) / PENALTY_TIME_CONSTANT_MS);
    return penalty < PENALTY_MIN ? 0 : penalty;
  }

  #weight(nowMs: number, coldStartMs: number): number {
    if (coldStartMs === 0) {
      return 1;
    }
    const warm = (nowMs - this.#joinedMs) / coldStartMs;
    return Math.min(1, Math.max(COLD_WEIGHT_MIN, warm));
  }
}

const EJECTION_CHART = loadChart("ejection", EndpointRecord.prototype);
