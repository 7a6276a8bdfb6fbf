/** A request to the local upstream, from arrival to result. */
import { coarseTimeout } from "../core/coarse_timeout.ts";
import { STATUS_SERVER_ERROR_MIN } from "../core/http_status.ts";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import { CallTimes } from "./call_times.ts";
import type { SlotRequest } from "../decisions/sharing/slot_queue.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
  UpstreamAnswer,
} from "../link/upstream_channel.ts";

/** Operations of the gate that a served request calls. */
export interface ServingGate {
  /** Sends a request that holds a slot to the upstream. */
  sendToUpstream(request: ServedRequest): RequestHandle;
  /** Removes the request from the queue. */
  leaveQueue(request: ServedRequest): void;
  /** Releases the slot of the request and records the result. */
  releaseSlot(request: ServedRequest, result: ServedResult): void;
}

/** Result of a request that held a slot. */
export type ServedResult =
  | "answered"
  | "errorAnswered"
  | "refused"
  | "unreachable"
  | "failed"
  | "overdue"
  | "cancelled";

type UpstreamResult = { answer: UpstreamAnswer } | { failure: ForwardFailure };

/**
 * Serves one request at the local upstream, as defined by the chart
 * `served_request`.
 */
export class ServedRequest
  implements SlotRequest, ResultReceiver, RequestHandle {
  readonly request: ForwardedRequest;
  readonly goalAtMs: number;
  readonly expiresAtMs: number;
  /** Monotonic time at which the request was sent to the upstream, in ms. */
  sentAtMs = 0;
  /** Reading of the upstream's work clock when the request was sent, in ms. */
  startedWorkMs = 0;
  /** Requests that ran when it was sent, itself included. */
  runningAtStartCount = 0;
  /** Time that the request spends in its downstream calls. */
  readonly callTimes = new CallTimes();
  /** Id that the caller gave to the request, read when it is sent. */
  requestId = "";
  /** Route of each downstream call that the upstream has made for it. */
  readonly calledRouteNames: string[] = [];
  /** Route of each request that has a deadline near its own by chance. */
  readonly chanceRouteNames: string[] = [];
  /**
   * Deadline that was sent to the upstream, as a monotonic time in whole ms.
   */
  sentExpiresAtMs = 0;
  readonly #gate: ServingGate;
  readonly #receiver: ResultReceiver;
  readonly #machine: StateMachine;
  readonly #timer: NodeJS.Timeout;
  #queueTimer: NodeJS.Timeout | undefined;
  #upstreamExchange: RequestHandle | undefined;
  #upstreamResult: UpstreamResult | undefined;

  /**
   * @param request Request to serve.
   * @param receiver Receives the result, unless the request is cancelled.
   * @param options Gate, and the monotonic time of arrival in ms.
   */
  constructor(
    request: ForwardedRequest,
    receiver: ResultReceiver,
    options: { gate: ServingGate; nowMs: number },
  ) {
    this.request = request;
    this.#receiver = receiver;
    this.#gate = options.gate;
    this.goalAtMs = options.nowMs + request.goalRemainingMs;
    this.expiresAtMs = options.nowMs + request.remainingMs;
    this.#machine = new StateMachine(SERVED_REQUEST_CHART, this);
    this.#timer = coarseTimeout(
      () => this.expire(),
      request.remainingMs,
    );
  }

  /** Sends the request to the upstream. */
  admit(): void {
    this.#machine.send("admitted");
  }

  /**
   * Records that the request is queued, and limits its wait.
   *
   * @param waitMaxMs Wait after which it is refused, in ms.
   */
  queue(waitMaxMs: number): void {
    this.#machine.send("queued");
    if (waitMaxMs < this.request.remainingMs) {
      this.#queueTimer = coarseTimeout(
        () => this.refuse("queue_timeout"),
        waitMaxMs,
      );
    }
  }

  /**
   * Refuses the request, which has not been sent to the upstream.
   *
   * @param kind Error kind that states the reason.
   */
  refuse(kind: ErrorKind): void {
    this.#machine.send("turnedAway", kind);
  }

  /** Ends the request because its deadline has passed. */
  expire(): void {
    clearTimeout(this.#timer);
    this.#machine.send("expired");
  }

  /** @inheritdoc */
  cancel(): void {
    clearTimeout(this.#timer);
    this.#machine.send("cancelled");
  }

  /** @inheritdoc */
  queryRun(): void {
    this.#upstreamExchange?.queryRun?.();
  }

  /** @inheritdoc */
  onRunning(runMs: number): void {
    this.#receiver.onRunning?.(runMs);
  }

  /** @inheritdoc */
  onAnswer(answer: UpstreamAnswer): void {
    this.#upstreamResult = { answer };
    this.#machine.send("ended");
  }

  /** @inheritdoc */
  onFailure(failure: ForwardFailure): void {
    this.#upstreamResult = { failure };
    this.#machine.send("ended");
  }

  /** Action: sends the request to the upstream. */
  run(): void {
    clearTimeout(this.#queueTimer);
    this.#upstreamExchange = this.#gate.sendToUpstream(this);
  }

  /** Action: removes the request from the queue. */
  leaveQueue(): void {
    clearTimeout(this.#queueTimer);
    this.#gate.leaveQueue(this);
  }

  /** Action: releases the slot. */
  releaseSlot(): void {
    this.#gate.releaseSlot(this, this.#servedResult());
  }

  /** Action: cancels the HTTP exchange with the upstream. */
  abort(): void {
    this.#upstreamExchange?.cancel();
  }

  /** Action: reports a refusal. */
  reportRefusal(kind: ErrorKind): void {
    clearTimeout(this.#timer);
    this.#receiver.onFailure({ kind, isNotRun: true, hasReached: false });
  }

  /** Action: reports that the deadline passed in the queue. */
  reportExpired(): void {
    this.#receiver.onFailure({
      kind: "deadline_exceeded",
      isNotRun: true,
      hasReached: false,
    });
  }

  /** Action: reports that the deadline passed at the upstream. */
  reportOverdue(): void {
    this.#receiver.onFailure({
      kind: "deadline_exceeded",
      isNotRun: false,
      hasReached: true,
    });
  }

  /** Action: reports the result of the HTTP exchange with the upstream. */
  reportResult(): void {
    clearTimeout(this.#timer);
    const result = this.#upstreamResult as UpstreamResult;
    if ("answer" in result) {
      this.#receiver.onAnswer(result.answer);
    } else {
      this.#receiver.onFailure(result.failure);
    }
  }

  #servedResult(): ServedResult {
    const result = this.#upstreamResult;
    if (result === undefined) {
      return performance.now() >= this.expiresAtMs ? "overdue" : "cancelled";
    }
    if ("answer" in result) {
      return result.answer.status >= STATUS_SERVER_ERROR_MIN
        ? "errorAnswered"
        : "answered";
    }
    if (result.failure.kind === "no_upstream") {
      return "unreachable";
    }
    return result.failure.isNotRun ? "refused" : "failed";
  }
}

const SERVED_REQUEST_CHART = loadChart(
  "served_request",
  ServedRequest.prototype,
);
