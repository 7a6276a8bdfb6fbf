/** Admits requests to the upstream beside the daemon. */
import type { CallObserver } from "../decisions/call_graph.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import { SlotQueue } from "../decisions/slot_queue.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { LoadReport } from "../schemas/link_schema.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import {
  ServedRequest,
  type ServedResult,
  type ServingGate,
} from "./served_request.ts";
import { findHeader, type UpstreamHttp } from "./upstream_http.ts";
import type {
  ForwardedRequest,
  ResultReceiver,
  SentRequest,
} from "../link/upstream_path.ts";

/**
 * Share of the slots that is used. Upstreams become slower when nearly all of
 * their slots are taken.
 */
const SLOTS_USED_RATIO = 0.95;
/** Share of the remaining latency goal that a refusable request may wait. */
const WAIT_MAX_GOAL_RATIO = 0.5;
/** Share of the remaining time that a request may wait in any case. */
const WAIT_MIN_RATIO = 0.5;
const RUN_TIME_WEIGHT = 0.05;
const FAILURE_WEIGHT = 0.05;
/** Weight of one control interval of 100 ms. */
const BUSY_WEIGHT = 0.35;
/** Before the first answer. */
const INITIAL_RUN_MS = 50;
/** Requests in a row without an answer after which the upstream is lost. */
const UNANSWERED_MAX_COUNT = 5;
/** Collisions of expiries that are resolved by shortening the deadline. */
const EXPIRY_STEPS_MAX_COUNT = 4;

/** Options of {@link UpstreamGate}. */
export type UpstreamGateOptions = {
  upstream: LocalUpstream;
  http: UpstreamHttp;
  /** Interval of heartbeats, in ms. */
  heartbeatMs: number;
  /** Learns which routes are run. */
  observer: CallObserver;
  decisions: DecisionLog;
  /** Name of the header with the caller's request id, in lower case. */
  requestIdHeader: string;
};

/** Slots and queue in front of the upstream. */
export class UpstreamGate implements ServingGate {
  readonly #options: UpstreamGateOptions;
  readonly #slots = new SlotQueue<ServedRequest>();
  readonly #runMs = new MovingAverage(RUN_TIME_WEIGHT, INITIAL_RUN_MS);
  readonly #failures = new MovingAverage(FAILURE_WEIGHT, 0);
  readonly #byExpiry = new Map<number, ServedRequest>();
  readonly #busy = new MovingAverage(BUSY_WEIGHT, 0);
  #unansweredCount = 0;
  #isStopped = false;

  /**
   * @param options Belief about the upstream and its client.
   */
  constructor(options: UpstreamGateOptions) {
    this.#options = options;
  }

  /** Requests that run at once at most. */
  get limitCount(): number {
    return this.#slots.limitCount;
  }

  /** Whether new requests are refused because the process ends. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Requests that run. */
  get runningCount(): number {
    return this.#slots.runningCount;
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.#slots.waitingCount;
  }

  /** Requests that run or wait. */
  get openCount(): number {
    return this.#slots.runningCount + this.#slots.waitingCount;
  }

  /** Load for the reports on answers. */
  get load(): LoadReport {
    return [
      this.openCount,
      Math.round(this.#runMs.value),
      Math.round(this.#failures.value * 255),
    ];
  }

  /** Running and waiting requests per slot, over the last moments. */
  get busyRatio(): number {
    return this.#busy.value;
  }

  /** Takes over the upstream's slots and starts what waits. */
  updateLimit(): void {
    const slotsCount = this.#options.upstream.report?.slotsCount ?? 0;
    this.#unansweredCount = 0;
    this.#slots.setLimit(
      Math.max(1, Math.floor(slotsCount * SLOTS_USED_RATIO)),
    );
    this.#startWaiting();
  }

  /** Hands back what waits; running requests continue. */
  refuseWaiting(): void {
    for (const request of this.#slots.clear()) {
      request.refuse("draining");
    }
  }

  /** Refuses new requests because the process stops. */
  stop(): void {
    this.#isStopped = true;
    this.refuseWaiting();
  }

  /**
   * Runs a request when a slot is free, or makes it wait.
   *
   * @param request Request for the upstream.
   * @param receiver Receives the result.
   * @returns Handle to cancel it.
   */
  serve(request: ForwardedRequest, receiver: ResultReceiver): SentRequest {
    const nowMs = performance.now();
    const served = new ServedRequest(request, receiver, { gate: this, nowMs });
    const refusal = this.#refusalOf(served);
    if (refusal !== undefined) {
      this.#recordDecision(served, refusal);
      served.refuse(refusal);
    } else if (this.#slots.enter(served)) {
      served.admit();
    } else {
      served.queue(this.#waitMaxMs(request));
    }
    return served;
  }

  /**
   * Finds the running request that a call of the upstream belongs to. Calls
   * expire with the request that makes them, and expiries are kept distinct.
   *
   * @param expiresAtMs Monotonic time at which the call expires, in ms.
   * @returns The running request; undefined when none expires about then.
   */
  findParent(expiresAtMs: number): ServedRequest | undefined {
    const key = Math.round(expiresAtMs);
    for (const offset of [0, 1, -1, 2, -2]) {
      const parent = this.#byExpiry.get(key + offset);
      if (parent !== undefined) {
        return parent;
      }
    }
    return undefined;
  }

  /**
   * Measures the load, and detects an upstream that neither answers nor sends
   * heartbeats. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { upstream, heartbeatMs } = this.#options;
    this.#busy.add(this.openCount / Math.max(1, this.limitCount));
    const isQuiet = nowMs - upstream.reportedAtMs > 2 * heartbeatMs;
    if (
      upstream.isServing && isQuiet &&
      this.#unansweredCount >= UNANSWERED_MAX_COUNT
    ) {
      upstream.markUnreachable();
    }
  }

  /** @inheritdoc */
  sendUpstream(served: ServedRequest): SentRequest {
    const nowMs = performance.now();
    served.runningSinceMs = nowMs;
    let expiryMs = Math.floor(served.expiresAtMs);
    for (
      let step = 0;
      step < EXPIRY_STEPS_MAX_COUNT && this.#byExpiry.has(expiryMs);
      step++
    ) {
      expiryMs--;
    }
    served.sentExpiryMs = expiryMs;
    this.#byExpiry.set(expiryMs, served);
    const remainingMs = expiryMs - nowMs;
    return this.#options.http.send({ ...served.request, remainingMs }, served);
  }

  /** @inheritdoc */
  leaveQueue(served: ServedRequest): void {
    this.#slots.remove(served);
  }

  /** @inheritdoc */
  releaseSlot(served: ServedRequest, result: ServedResult): void {
    this.#slots.release();
    if (this.#byExpiry.get(served.sentExpiryMs) === served) {
      this.#byExpiry.delete(served.sentExpiryMs);
    }
    this.#recordResult(served, result);
    if (result === "unreachable") {
      this.#options.upstream.markUnreachable();
    }
    this.#startWaiting();
  }

  /** Why a request is refused on arrival; undefined when it is not. */
  #refusalOf({ request, goalAtMs }: ServedRequest): ErrorKind | undefined {
    const { upstream } = this.#options;
    if (this.#isStopped || upstream.isLeaving) {
      return "draining";
    }
    if (
      !upstream.isServing || upstream.report?.upstreamId !== request.upstreamId
    ) {
      return "no_upstream";
    }
    const waitMaxMs = Math.max(0, request.goalLeftMs) * WAIT_MAX_GOAL_RATIO;
    return request.isRefusable && this.#queueWaitMs(goalAtMs) > waitMaxMs
      ? "queue_full"
      : undefined;
  }

  /** Time until a request with a latency goal that arrives now has a slot, in ms. */
  #queueWaitMs(goalAtMs: number): number {
    const aheadCount = this.#slots.countAhead(goalAtMs);
    const { limitCount } = this.#slots;
    return limitCount === 0 ? 0 : aheadCount * this.#runMs.value / limitCount;
  }

  /**
   * Longest wait of a request: one that may be refused gives up while there is
   * still time for a run, and can then be repeated elsewhere.
   */
  #waitMaxMs({ isRefusable, remainingMs }: ForwardedRequest): number {
    return isRefusable
      ? Math.max(remainingMs * WAIT_MIN_RATIO, remainingMs - this.#runMs.value)
      : remainingMs;
  }

  #recordDecision(
    { request, goalAtMs }: ServedRequest,
    outcome: string,
  ): void {
    const { decisions, upstream, requestIdHeader } = this.#options;
    decisions.record(
      "served",
      findHeader(request.headers, requestIdHeader) ?? "",
      {
        outcome,
        route: request.routeName,
        chosenUpstream: request.upstreamId,
        upstream: upstream.report?.upstreamId,
        upstreamState: upstream.stateName,
        reportAgeMs: Math.round(performance.now() - upstream.reportedAtMs),
        runningCount: this.runningCount,
        waitingCount: this.waitingCount,
        limitCount: this.limitCount,
        queueWaitMs: Math.round(this.#queueWaitMs(goalAtMs)),
      },
    );
  }

  #recordResult(served: ServedRequest, result: ServedResult): void {
    if (result === "cancelled") {
      return;
    }
    this.#failures.add(result === "answered" ? 0 : 1);
    if (result !== "answered") {
      this.#recordDecision(served, result);
    }
    this.#unansweredCount = result === "overdue"
      ? this.#unansweredCount + 1
      : 0;
    if (result === "answered" || result === "overdue") {
      this.#options.observer.recordRun(
        served.request.routeName,
        served.calledRouteNames,
      );
      this.#runMs.add(performance.now() - served.runningSinceMs);
    }
  }

  #startWaiting(): void {
    for (;;) {
      const next = this.#slots.takeNext();
      if (next === undefined) {
        return;
      }
      next.admit();
    }
  }
}
