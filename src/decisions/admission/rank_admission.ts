/** Rank-based admission with a level, a limit and a queue by class. */
import { AdmissionLevel } from "./admission_level.ts";
import type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionRequest,
  AdmissionRules,
  FinishedRequest,
  LoadState,
  QueueDecision,
} from "./admission_policy.ts";
import type { ConcurrencyLimiter } from "../limits/concurrency_limiter.ts";
import { createLimiter } from "../limits/create_limiter.ts";
import type { ErrorKind } from "../../errors/error_kinds.ts";
import { DownstreamLevels } from "./downstream_levels.ts";
import {
  ADMISSION_KEYS_COUNT,
  CLASSES_COUNT,
  effectiveRank,
} from "./importance.ts";
import { IntervalMeter } from "../interval_meter.ts";
import { LoadReportBound } from "../load_report_bound.ts";
import {
  CONTROL_INTERVAL_MS,
  type OverloadTuning,
  tuneOverload,
} from "./overload_tuning.ts";
import { type QueueEntry, RankQueue } from "./rank_queue.ts";
import { ServiceEstimates } from "../service_estimates.ts";
import { TenantShares } from "./tenant_shares.ts";

/** Largest number of missed control intervals to process after a pause. */
const INTERVALS_MAX_COUNT = 64;
/**
 * Length up to which a standing queue is no overload: an upstream with few
 * slots needs it to keep all of them busy, although its delay exceeds the
 * target.
 */
const STANDING_ALLOWED_COUNT = 3;
const ALL_ROUTES = "";

/** Options of {@link RankAdmission}. */
export type RankAdmissionOptions = {
  /** Limit on the requests that run at once. */
  limiter: ConcurrencyLimiter;
  /** Requests that may wait. */
  queueMaxCount: number;
  /** Longest wait that the pool allows, in ms. */
  queueAgeMaxMs: number;
  /** 0 prefers goodput, 1 prefers recovery. */
  overloadPreference: number;
};

/**
 * Admits requests below a level that follows the queueing delay, runs them up
 * to a concurrency limit, and queues the others by class.
 *
 * @example
 * const admission = new RankAdmission({
 *   limiter: createLimiter("gradient", 100),
 *   queueMaxCount: 200,
 *   queueAgeMaxMs: 500,
 *   overloadPreference: 0.5,
 * });
 * admission.offer(request, nowMs);
 */
export class RankAdmission implements AdmissionPolicy {
  #limiter: ConcurrencyLimiter;
  #slotsCount: number;
  #queueMaxCount: number;
  #tuning: OverloadTuning;
  readonly #level: AdmissionLevel;
  readonly #queue = new RankQueue();
  readonly #shares = new TenantShares();
  readonly #estimates = new ServiceEstimates();
  readonly #meter = new IntervalMeter();
  readonly #downstream = new DownstreamLevels();
  readonly #reports = new LoadReportBound();
  #decided: QueueDecision[] = [];
  #inFlightCount = 0;
  #limitCount: number;
  #overloaded = false;
  #intervalStartMs: number | undefined;

  /**
   * @param options Limit, queue and preference.
   */
  constructor(options: RankAdmissionOptions) {
    this.#limiter = options.limiter;
    this.#slotsCount = options.limiter.limit();
    this.#queueMaxCount = options.queueMaxCount;
    this.#tuning = tuneOverload(
      options.overloadPreference,
      options.queueAgeMaxMs,
    );
    this.#level = new AdmissionLevel(this.#tuning);
    this.#limitCount = options.limiter.limit();
  }

  /** @inheritdoc */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision {
    this.#advance(nowMs);
    const rank = effectiveRank(
      this.#shares.rank(request),
      request.depthCount,
    );
    this.#level.observe(rank);
    if (
      rank >= this.#level.levelRank || !this.#downstream.admits(
        request.route ?? ALL_ROUTES,
        effectiveRank(request.rank, request.depthCount),
      )
    ) {
      return { kind: "refuse", error: "shed" };
    }
    if (!this.#canMeetDeadline(request, nowMs + this.#expectedWaitMs(rank))) {
      return { kind: "refuse", error: "deadline_unmeetable" };
    }
    if (this.#inFlightCount < this.#limitCount && this.#queue.size === 0) {
      this.#start(nowMs);
      return { kind: "run" };
    }
    return this.#wait({ request, rank, sinceMs: nowMs }, nowMs);
  }

  /** @inheritdoc */
  finish(finished: FinishedRequest, nowMs: number): void {
    this.#advance(nowMs);
    this.#estimates.recordEnd();
    this.#recordDownstream(finished);
    this.#recordLatency(finished, nowMs);
    this.#inFlightCount--;
    this.#measure(nowMs);
  }

  /** @inheritdoc */
  cancel(ticket: number): void {
    this.#queue.remove(ticket);
  }

  /** @inheritdoc */
  poll(nowMs: number): QueueDecision[] {
    this.#advance(nowMs);
    this.#refuseAged(nowMs);
    while (this.#inFlightCount < this.#limitCount) {
      const entry = this.#queue.take(
        this.#overloaded ? "newest-first" : "oldest-first",
      );
      if (entry === undefined) {
        break;
      }
      this.#dispatch(entry, nowMs);
    }
    this.#measure(nowMs);
    const decided = this.#decided;
    this.#decided = [];
    return decided;
  }

  /** @inheritdoc */
  load(): LoadState {
    return {
      levelRank: this.#level.levelRank,
      inFlightCount: this.#inFlightCount,
      limitCount: this.#limitCount,
      queuedCount: this.#queue.size,
    };
  }

  /** @inheritdoc */
  configure(rules: AdmissionRules): void {
    const { limit, queueMaxCount, queueAgeMaxMs, overloadPreference } = rules;
    if (limit !== this.#limiter.kind) {
      this.#limiter = createLimiter(limit, this.#slotsCount);
      this.#limitCount = this.#limiter.limit();
    }
    this.#queueMaxCount = queueMaxCount;
    this.#tuning = tuneOverload(overloadPreference, queueAgeMaxMs);
    this.#level.retune(this.#tuning);
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#slotsCount = slotsCount;
    this.#limiter.resize(slotsCount);
    this.#limitCount = this.#limiter.limit();
  }

  /** @inheritdoc */
  reportLoad(inFlightCount: number, nowMs: number): void {
    this.#reports.report(
      { reportedCount: inFlightCount, ownCount: this.#inFlightCount },
      nowMs,
    );
    this.#applyLimit(nowMs);
  }

  #wait(entry: QueueEntry, nowMs: number): AdmissionDecision {
    if (this.#queue.size >= this.#queueMaxCount) {
      const leastImportant = this.#queue.leastImportant();
      if (leastImportant === undefined || leastImportant.rank <= entry.rank) {
        return { kind: "refuse", error: "queue_full" };
      }
      this.#queue.remove(leastImportant.request.ticket);
      this.#refuse(leastImportant, "queue_full");
    }
    this.#queue.push(entry);
    this.#measure(nowMs);
    return { kind: "wait" };
  }

  #start(nowMs: number): void {
    this.#inFlightCount++;
    this.#measure(nowMs);
  }

  #dispatch(entry: QueueEntry, nowMs: number): void {
    if (!this.#canMeetDeadline(entry.request, nowMs)) {
      this.#refuse(entry, "deadline_unmeetable");
      return;
    }
    const { ticket } = entry.request;
    this.#inFlightCount++;
    this.#decided.push({ ticket, decision: { kind: "run" } });
  }

  #refuse(entry: QueueEntry, error: ErrorKind): void {
    const { ticket } = entry.request;
    this.#decided.push({ ticket, decision: { kind: "refuse", error } });
  }

  #refuseAged(nowMs: number): void {
    const beforeMs = this.#tuning.queueAgesMaxMs.map((ageMs) => nowMs - ageMs);
    let entry = this.#queue.takeOlderThan(beforeMs);
    while (entry !== undefined) {
      this.#refuse(entry, "queue_timeout");
      entry = this.#queue.takeOlderThan(beforeMs);
    }
  }

  #canMeetDeadline(request: AdmissionRequest, startMs: number): boolean {
    const serviceMs = this.#estimates.meanMs(request.route ?? ALL_ROUTES);
    return startMs < request.deadlineMs &&
      startMs + serviceMs <= request.deadlineMs;
  }

  /** Waiting requests that run earlier, divided by the rate of completions. */
  #expectedWaitMs(rank: number): number {
    if (this.#queue.size === 0) {
      return 0;
    }
    const classIndex = Math.floor(rank / ADMISSION_KEYS_COUNT);
    const sameClass = this.#overloaded
      ? 0
      : this.#queue.countInClass(classIndex);
    const ahead = this.#queue.countAboveClass(classIndex) + sameClass;
    const ratePerMs = this.#serviceRatePerMs();
    return ratePerMs === 0 ? 0 : ahead / ratePerMs;
  }

  /**
   * Completion rate with all slots in use; the measured rate lags after idle
   * times.
   */
  #serviceRatePerMs(): number {
    const serviceMs = this.#estimates.meanMs(ALL_ROUTES);
    const fullRatePerMs = serviceMs === 0 ? 0 : this.#limitCount / serviceMs;
    return Math.max(this.#estimates.ratePerMs, fullRatePerMs);
  }

  #recordLatency(finished: FinishedRequest, nowMs: number): void {
    const { latencyMs, result, route } = finished;
    if (result === "cancelled") {
      return;
    }
    this.#limiter.record({
      latencyMs: latencyMs - (finished.nestedMs ?? 0),
      inFlightCount: this.#inFlightCount,
      overloaded: result === "overloaded",
    }, nowMs);
    this.#applyLimit(nowMs);
    if (result !== "succeeded") {
      return;
    }
    this.#estimates.record(ALL_ROUTES, latencyMs);
    if (route !== undefined) {
      this.#estimates.record(route, latencyMs);
    }
  }

  #recordDownstream(finished: FinishedRequest): void {
    const { rank, depthCount = 1, route = ALL_ROUTES, result } = finished;
    if (rank === undefined || result === "cancelled") {
      return;
    }
    this.#downstream.record(route, {
      rank: effectiveRank(rank, depthCount),
      refused: result === "overloaded",
    });
  }

  #applyLimit(nowMs: number): void {
    this.#limitCount = this.#reports.bound(
      this.#limiter.limit(),
      nowMs,
    );
  }

  #measure(nowMs: number): void {
    this.#meter.record({
      inFlightCount: this.#inFlightCount,
      queuedCount: this.#queue.size,
    }, nowMs);
  }

  /** Ends the control intervals that have passed. */
  #advance(nowMs: number): void {
    this.#intervalStartMs ??= nowMs;
    let elapsedCount = Math.floor(
      (nowMs - this.#intervalStartMs) / CONTROL_INTERVAL_MS,
    );
    if (elapsedCount <= 0) {
      return;
    }
    this.#intervalStartMs += elapsedCount * CONTROL_INTERVAL_MS;
    this.#applyLimit(nowMs);
    for (
      elapsedCount = Math.min(elapsedCount, INTERVALS_MAX_COUNT);
      elapsedCount > 0;
      elapsedCount--
    ) {
      this.#endInterval(nowMs);
    }
  }

  #endInterval(nowMs: number): void {
    this.#estimates.endInterval(CONTROL_INTERVAL_MS);
    this.#shares.endInterval();
    this.#downstream.endInterval();
    const measured = this.#meter.endInterval(nowMs);
    const ratePerMs = this.#serviceRatePerMs();
    const standingDelayMs = measured.standingCount <= STANDING_ALLOWED_COUNT
      ? 0
      : measured.standingCount / Math.max(ratePerMs, 0.001);
    this.#overloaded = standingDelayMs > this.#tuning.delayTargetMs;
    this.#level.adjust({
      standingDelayMs,
      standingCount: measured.standingCount,
      servedCount: ratePerMs * CONTROL_INTERVAL_MS,
      waitingFromRank: this.#waitingFromRank(ratePerMs),
      freeRatio: Math.max(0, 1 - measured.inFlightMean / this.#limitCount),
    });
  }

  /** Lowest rank of the most important class that waits too long. */
  #waitingFromRank(ratePerMs: number): number {
    if (this.#isCriticalOverload(ratePerMs)) {
      return 0;
    }
    let classIndex = 1;
    while (
      this.#queue.countAboveClass(classIndex + 1) <= STANDING_ALLOWED_COUNT &&
      classIndex < CLASSES_COUNT - 1
    ) {
      classIndex++;
    }
    return classIndex * ADMISSION_KEYS_COUNT;
  }

  /**
   * Returns whether the waiting critical requests mean overload. None of them
   * is shed until they wait for half of their age limit or fill half of the
   * queue, whichever comes first; in a longer queue, requests of all ranks time
   * out. A queue of half the concurrency limit means a wait of half a service
   * time, which is no overload. Once some are shed, the level follows their
   * waits as it does for other classes.
   */
  #isCriticalOverload(ratePerMs: number): boolean {
    const shedsCritical = this.#level.levelRank < ADMISSION_KEYS_COUNT;
    const waitCount = Math.min(
      this.#tuning.criticalStandingMaxMs * ratePerMs,
      this.#queueMaxCount / 2,
    );
    const allowedCount = shedsCritical
      ? STANDING_ALLOWED_COUNT
      : Math.max(this.#limitCount / 2, STANDING_ALLOWED_COUNT, waitCount);
    return this.#queue.countInClass(0) > allowedCount;
  }
}
