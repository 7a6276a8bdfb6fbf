/** Concurrency limit and queue of the upstream beside the daemon. */
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
 * Share of the slots that is used. Upstreams slow down when nearly all of their
 * slots are in use.
 */
const SLOTS_USED_RATIO = 0.95;
/**
 * A refusable request is refused on arrival when its expected wait exceeds this
 * share of the time until its latency goal.
 */
const WAIT_MAX_GOAL_RATIO = 0.5;
/** Lower bound of the maximum wait, as a share of the remaining time. */
const WAIT_MIN_RATIO = 0.5;
const RUN_TIME_WEIGHT = 0.05;
const FAILURE_WEIGHT = 0.05;
/** Weight of one control interval of 100 ms. */
const BUSY_WEIGHT = 0.35;
/** Assumed run time before the first answer. */
const INITIAL_RUN_MS = 50;
/**
 * Consecutive unanswered requests after which an upstream without heartbeats is
 * taken for unreachable.
 */
const UNANSWERED_MAX_COUNT = 5;
/** Maximum steps of 1 ms by which a deadline is shortened to make it unique. */
const EXPIRY_STEPS_MAX_COUNT = 4;

/** Options of {@link UpstreamGate}. */
export type UpstreamGateOptions = {
  upstream: LocalUpstream;
  http: UpstreamHttp;
  /** Interval of heartbeats, in ms. */
  heartbeatMs: number;
  /** Receives the calls of each run. */
  observer: CallObserver;
  decisions: DecisionLog;
  /** Name of the header with the caller's request id, in lower case. */
  requestIdHeader: string;
};

/** Limits the requests that run at the upstream, and queues the others. */
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
   * @param options Upstream, its client, observer of calls and decision log.
   */
  constructor(options: UpstreamGateOptions) {
    this.#options = options;
  }

  /** Maximum number of requests that run at once. */
  get limitCount(): number {
    return this.#slots.limitCount;
  }

  /** Whether new requests are refused because the process is stopping. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Number of requests that run. */
  get runningCount(): number {
    return this.#slots.runningCount;
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.#slots.waitingCount;
  }

  /** Number of requests that run or wait. */
  get openCount(): number {
    return this.#slots.runningCount + this.#slots.waitingCount;
  }

  /** Load report that is sent with each result. */
  get load(): LoadReport {
    return [
      this.openCount,
      Math.round(this.#runMs.value),
      Math.round(this.#failures.value * 255),
    ];
  }

  /** Moving average of the running and waiting requests per slot. */
  get busyRatio(): number {
    return this.#busy.value;
  }

  /** Applies the upstream's number of slots and starts waiting requests. */
  updateLimit(): void {
    const slotsCount = this.#options.upstream.report?.slotsCount ?? 0;
    this.#unansweredCount = 0;
    this.#slots.setLimit(
      Math.max(1, Math.floor(slotsCount * SLOTS_USED_RATIO)),
    );
    this.#startWaiting();
  }

  /** Refuses the waiting requests; running ones continue. */
  refuseWaiting(): void {
    for (const request of this.#slots.clear()) {
      request.refuse("draining");
    }
  }

  /** Refuses waiting and new requests because the process is stopping. */
  stop(): void {
    this.#isStopped = true;
    this.refuseWaiting();
  }

  /**
   * Runs a request if a slot is free, and otherwise queues or refuses it.
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
   * Finds the running request that makes a call. A call has the deadline of its
   * request, and the deadlines that are sent to the upstream are distinct.
   *
   * @param expiresAtMs Deadline of the call, as a monotonic time in ms.
   * @returns The running request; undefined when none has a deadline that is
   *   within 2 ms of this one.
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
   * Samples the load, and detects an upstream that neither answers nor sends
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

  /** Error kind when a request is refused on arrival; otherwise undefined. */
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

  /** Expected wait of a new request with the latency goal, in ms. */
  #queueWaitMs(goalAtMs: number): number {
    const aheadCount = this.#slots.countAhead(goalAtMs);
    const { limitCount } = this.#slots;
    return limitCount === 0 ? 0 : aheadCount * this.#runMs.value / limitCount;
  }

  /**
   * Maximum wait of a request in ms. A refusable one stops waiting while there
   * is still time to run it at another upstream.
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
