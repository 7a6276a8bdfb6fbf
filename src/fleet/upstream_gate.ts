/** Concurrency limit and queue of the local upstream. */
import type { StartQueue } from "../core/start_queue.ts";
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import {
  exceedsGoal,
  expectedWaitMs,
  maxWaitMs,
} from "../decisions/sharing/queue_waits.ts";
import { SlotQueue } from "../decisions/sharing/slot_queue.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { LoadReport } from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import { RunningRequests } from "./running_requests.ts";
import {
  ServedRequest,
  type ServedResult,
  type ServingGate,
} from "./served_request.ts";
import { ServedResults } from "./served_results.ts";
import { StartControl } from "./start_control.ts";
import { UpstreamCapacity } from "./upstream_capacity.ts";
import type { UpstreamHttpClient } from "./upstream_http_client.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";
import { findHeader } from "./header_names.ts";
import type {
  ForwardedRequest,
  RequestHandle,
  ResultReceiver,
} from "../link/upstream_channel.ts";

/** Weight of one control interval of 100 ms in the busy ratio. */
const BUSY_WEIGHT = 0.35;
/**
 * An upstream without heartbeats is considered unreachable when the deadlines
 * of this many consecutive requests have passed.
 */
const OVERDUE_MAX_COUNT = 5;
const MS_PER_S = 1_000;

/** Options of {@link UpstreamGate}. */
export type UpstreamGateOptions = {
  upstream: LocalUpstream;
  client: UpstreamHttpClient;
  /** Interval of heartbeats, in ms. */
  heartbeatMs: number;
  /** Receives the downstream calls of each run. */
  observer: CallObserver;
  /** Delays the start of waiting requests until their cancels have been read. */
  startQueue: Pick<StartQueue, "add">;
  decisions: DecisionLog;
  log: Logger;
  /** Name of the header with the caller's request id, in lower case. */
  requestIdHeader: string;
  /** Name of the header with the tenant, in lower case. */
  tenantHeader: string;
};

/** Limits the requests that run at the upstream, and queues the others. */
export class UpstreamGate implements ServingGate {
  /** Learned capacity of the upstream. */
  readonly capacity: UpstreamCapacity;
  readonly #options: UpstreamGateOptions;
  readonly #slots = new SlotQueue<ServedRequest>();
  readonly #results: ServedResults;
  readonly #running: RunningRequests;
  readonly #busy = new MovingAverage(BUSY_WEIGHT, 0);
  readonly #starts: StartControl;
  #isStopped = false;
  #isStartDue = false;

  /**
   * @param options Upstream, its HTTP client, observer of downstream calls and
   *   decision log.
   */
  constructor(options: UpstreamGateOptions) {
    this.#options = options;
    this.#running = new RunningRequests(options.tenantHeader);
    this.#results = new ServedResults(options.observer);
    this.capacity = new UpstreamCapacity(options.log);
    this.#starts = new StartControl({
      log: options.log,
      onDue: () => this.#startWaiting(),
    });
  }

  /**
   * Number of requests that the upstream can run at once: as many as it handles
   * well, or as its limit of requests a second keeps running.
   */
  get limitCount(): number {
    const { limitCount } = this.capacity;
    const { limitPerS } = this.#starts;
    return limitPerS === undefined ? limitCount : Math.min(
      limitCount,
      Math.max(1, Math.round(limitPerS * this.#expectedRunMs / MS_PER_S)),
    );
  }

  /** Runs per second that the upstream can run; 0 while it does not serve. */
  get capacityPerS(): number {
    const { upstream } = this.#options;
    return this.#isStopped || !upstream.isServing || upstream.isLeaving
      ? 0
      : this.limitCount * MS_PER_S / Math.max(1, this.#expectedRunMs);
  }

  /** Identity of the upstream; undefined while it is not known. */
  get upstreamId(): string | undefined {
    return this.#options.upstream.report?.upstreamId;
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

  /** Reported load, which is sent with each result. */
  get load(): LoadReport {
    return [
      this.openCount,
      Math.round(this.#expectedRunMs),
      Math.round(this.#results.failureRatio * 255),
    ];
  }

  /** Moving average of the running and waiting requests per slot. */
  get busyRatio(): number {
    return this.#busy.value;
  }

  /**
   * Share of the requests that the upstream refuses by itself; 0 while it names
   * a limit, which is already obeyed.
   */
  get refusedRatio(): number {
    return this.#starts.limitPerS === undefined
      ? Math.round(this.#results.refusedRatio(performance.now()) * 100) / 100
      : 0;
  }

  /** Applies the upstream's number of slots and starts waiting requests. */
  updateLimit(): void {
    const { report } = this.#options.upstream;
    this.#results.overdueCount = 0;
    this.#starts.setUpstream(report?.upstreamId);
    this.capacity.update(report, performance.now());
    this.#startWaiting();
  }

  /**
   * Applies what the upstream has said of itself in an answer.
   *
   * @param signals Signals of the answer.
   */
  applySignals(signals: UpstreamSignals): void {
    this.#starts.apply(signals);
    this.capacity.applySignals(signals, performance.now());
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
  serve(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const nowMs = performance.now();
    const served = new ServedRequest(request, receiver, { gate: this, nowMs });
    this.#slots.setLimit(this.capacity.presentLimitCount(nowMs));
    const refusal = this.#refusalKind(served);
    if (refusal !== undefined) {
      this.#recordDecision(served, refusal);
      served.refuse(refusal);
    } else if (this.#enterSlot(served)) {
      served.admit();
    } else {
      served.queue(maxWaitMs(request, this.#expectedRunMs));
      this.#scheduleStart();
    }
    return served;
  }

  /**
   * Finds a running request by the id that its caller gave to it.
   *
   * @param requestId Id, if known.
   * @returns The running request; undefined when none has the id.
   */
  findRunning(requestId: string | undefined): ServedRequest | undefined {
    return requestId === undefined
      ? undefined
      : this.#running.findById(requestId);
  }

  /**
   * Finds the running request whose deadline a downstream call may have; see
   * {@link RunningRequests.findByExpiry}.
   *
   * @param expiresAtMs Deadline of the call, as a monotonic time in ms.
   * @returns The running request; undefined when none matches.
   */
  findByExpiry(expiresAtMs: number): ServedRequest | undefined {
    return this.#running.findByExpiry(expiresAtMs);
  }

  /**
   * Adjusts the limit, samples the busy ratio, and detects an upstream that
   * neither answers nor sends heartbeats. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { upstream, heartbeatMs } = this.#options;
    this.capacity.tick(upstream.report, nowMs);
    this.#startWaiting();
    this.#busy.add(this.openCount / Math.max(1, this.limitCount));
    const isHeartbeatOverdue = nowMs - upstream.reportedAtMs > 2 * heartbeatMs;
    if (
      upstream.isServing && isHeartbeatOverdue &&
      this.#results.overdueCount >= OVERDUE_MAX_COUNT
    ) {
      upstream.markUnreachable();
    }
  }

  /** @inheritdoc */
  sendToUpstream(served: ServedRequest): RequestHandle {
    const nowMs = performance.now();
    served.sentAtMs = nowMs;
    this.capacity.recordStart(served, this.runningCount);
    this.#starts.recordStart();
    served.requestId = this.#requestIdOf(served);
    this.#running.add(served);
    const remainingMs = served.sentExpiresAtMs - nowMs;
    return this.#options.client.send(
      { ...served.request, remainingMs },
      served,
    );
  }

  /** @inheritdoc */
  leaveQueue(served: ServedRequest): void {
    this.#slots.remove(served);
  }

  /** @inheritdoc */
  releaseSlot(served: ServedRequest, result: ServedResult): void {
    const { runningCount } = this;
    this.#slots.release();
    this.#running.remove(served);
    this.#recordResult(served, result, runningCount);
    if (result === "unreachable") {
      this.#options.upstream.markUnreachable();
    }
    this.#startWaiting();
  }

  /**
   * Error kind of a request that is refused on arrival; otherwise undefined.
   */
  #refusalKind({ request, goalAtMs }: ServedRequest): ErrorKind | undefined {
    const { upstream } = this.#options;
    if (this.#isStopped || upstream.isLeaving) {
      return "draining";
    }
    if (
      !upstream.isServing || upstream.report?.upstreamId !== request.upstreamId
    ) {
      return "no_upstream";
    }
    // An upstream that has named a limit needs not be the only one of its pool,
    // so downstream calls are refused as well, to be sent to another one.
    const isRefusable = request.isRefusable ||
      this.#starts.limitPerS !== undefined;
    return isRefusable &&
        exceedsGoal(this.#queueWaitMs(goalAtMs), request.goalRemainingMs)
      ? "queue_full"
      : undefined;
  }

  /** Takes a slot for a request, or makes it wait. */
  #enterSlot(served: ServedRequest): boolean {
    if (this.#starts.mayStart(this.runningCount)) {
      return this.#slots.enter(served);
    }
    this.#slots.wait(served);
    return false;
  }

  /** Starts waiting requests later if they wait although a slot is free. */
  #scheduleStart(): void {
    if (
      this.waitingCount > 0 && this.runningCount < this.#slots.limitCount
    ) {
      this.#starts.schedule();
    }
  }

  /** Expected wait of a new request with the given latency goal, in ms. */
  #queueWaitMs(goalAtMs: number): number {
    const aheadCount = this.#slots.countAhead(goalAtMs);
    return expectedWaitMs({
      aheadCount,
      limitCount: this.capacity.limitCount,
      expectedRunMs: this.#expectedRunMs,
      rateWaitMs: this.#starts.waitMs(aheadCount),
    });
  }

  get #expectedRunMs(): number {
    return this.capacity.expectedRunMs(performance.now());
  }

  #requestIdOf({ request }: ServedRequest): string {
    return findHeader(request.headers, this.#options.requestIdHeader) ?? "";
  }

  #recordDecision(served: ServedRequest, outcome: string): void {
    const { request, goalAtMs } = served;
    const { decisions, upstream } = this.#options;
    decisions.record(
      "served",
      this.#requestIdOf(served),
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

  #recordResult(
    served: ServedRequest,
    result: ServedResult,
    runningCount: number,
  ): void {
    const nowMs = performance.now();
    this.#results.record(served, result, nowMs);
    this.capacity.recordEnd(served, result, { runningCount, nowMs });
    const isAnswered = result === "answered" || result === "errorAnswered";
    if (!isAnswered && result !== "cancelled") {
      this.#recordDecision(served, result);
    }
  }

  /** Runs waiting requests, once cancels that have arrived are known. */
  #startWaiting(): void {
    if (this.waitingCount === 0 || this.#isStartDue) {
      return;
    }
    this.#isStartDue = true;
    this.#options.startQueue.add(() => {
      this.#isStartDue = false;
      this.#startWhileFree();
      return () => {};
    });
  }

  /** Runs waiting requests while slots are free. */
  #startWhileFree(): void {
    this.#slots.setLimit(this.capacity.presentLimitCount(performance.now()));
    for (;;) {
      const next = this.#starts.mayStart(this.runningCount)
        ? this.#slots.takeNext()
        : undefined;
      if (next === undefined) {
        this.#scheduleStart();
        return;
      }
      if (performance.now() < next.expiresAtMs) {
        next.admit();
        continue;
      }
      // A process that was paused reads an answer, which frees a slot, before
      // the timer of the waiting request fires.
      this.#slots.release();
      next.expire();
    }
  }
}
