/** A request to the upstream beside the daemon, from arrival to result. */
import { coarseTimeout } from "../core/coarse_timeout.ts";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { SlotRequest } from "../decisions/slot_queue.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  ResultReceiver,
  SentRequest,
  UpstreamAnswer,
} from "../link/upstream_path.ts";

/** Services of the gate that served requests use. */
export interface ServingGate {
  /** Sends the request to the upstream. */
  sendUpstream(request: ServedRequest): SentRequest;
  /** Removes the request from the queue. */
  leaveQueue(request: ServedRequest): void;
  /** Releases the slot of the request and records the result. */
  releaseSlot(request: ServedRequest, result: ServedResult): void;
}

/** Result of a request for which its slot is released. */
export type ServedResult =
  | "answered"
  | "refused"
  | "unreachable"
  | "failed"
  | "overdue"
  | "cancelled";

type End = { answer: UpstreamAnswer } | { failure: ForwardFailure };

/** Runs the chart `served_request`. */
export class ServedRequest implements SlotRequest, ResultReceiver, SentRequest {
  readonly request: ForwardedRequest;
  readonly goalAtMs: number;
  readonly expiresAtMs: number;
  /** Monotonic time at which it was sent to the upstream, in ms. */
  runningSinceMs = 0;
  /** Routes of the calls that the upstream has made for it. */
  readonly calledRouteNames: string[] = [];
  /** Deadline sent to the upstream, as a monotonic time in whole ms. */
  sentExpiryMs = 0;
  readonly #gate: ServingGate;
  readonly #receiver: ResultReceiver;
  readonly #machine: StateMachine;
  readonly #timer: NodeJS.Timeout;
  #queueTimer: NodeJS.Timeout | undefined;
  #sent: SentRequest | undefined;
  #end: End | undefined;

  /**
   * @param request Request to serve.
   * @param receiver Receives the result.
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
    this.goalAtMs = options.nowMs + request.goalLeftMs;
    this.expiresAtMs = options.nowMs + request.remainingMs;
    this.#machine = new StateMachine(SERVED_CHART, this);
    this.#timer = coarseTimeout(
      () => this.#machine.send("expired"),
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

  /** @inheritdoc */
  cancel(): void {
    clearTimeout(this.#timer);
    this.#machine.send("cancelled");
  }

  /** @inheritdoc */
  onAnswer(answer: UpstreamAnswer): void {
    this.#end = { answer };
    this.#machine.send("ended");
  }

  /** @inheritdoc */
  onFailure(failure: ForwardFailure): void {
    this.#end = { failure };
    this.#machine.send("ended");
  }

  /** Action: sends the request to the upstream. */
  run(): void {
    clearTimeout(this.#queueTimer);
    this.#sent = this.#gate.sendUpstream(this);
  }

  /** Action: removes the request from the queue. */
  leaveQueue(): void {
    clearTimeout(this.#queueTimer);
    this.#gate.leaveQueue(this);
  }

  /** Action: releases the slot. */
  releaseSlot(): void {
    this.#gate.releaseSlot(this, this.#result());
  }

  /** Action: cancels the exchange with the upstream. */
  abort(): void {
    this.#sent?.cancel();
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

  /** Action: reports the result. */
  reportEnd(): void {
    clearTimeout(this.#timer);
    const end = this.#end as End;
    if ("answer" in end) {
      this.#receiver.onAnswer(end.answer);
    } else {
      this.#receiver.onFailure(end.failure);
    }
  }

  #result(): ServedResult {
    const end = this.#end;
    if (end === undefined) {
      return performance.now() >= this.expiresAtMs ? "overdue" : "cancelled";
    }
    if ("answer" in end) {
      return "answered";
    }
    if (end.failure.kind === "no_upstream") {
      return "unreachable";
    }
    return end.failure.isNotRun ? "refused" : "failed";
  }
}

const SERVED_CHART = loadChart("served_request", ServedRequest.prototype);
