/** One request in the daemon beside the upstream that serves it. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { FinishedRequest } from "../decisions/admission/admission_policy.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type {
  AnswerHead,
  AnswerReceiver,
  AnswerSource,
  Failure,
  ForwardRequest,
  ServingState,
} from "./answer_receiver.ts";
import { nestedTimeMs, type RunningRequest } from "./running_requests.ts";
import type { KeyedExchange } from "./keyed_exchange.ts";
import { rankOf } from "./request_context.ts";

/** Operations of the service that an inbound exchange uses. */
export interface InboundHost {
  /** Forwards the request to the upstream. */
  forward(exchange: InboundExchange): AnswerSource;
  /** Frees the slot and starts waiting requests. */
  release(exchange: InboundExchange, finished: FinishedRequest): void;
  /** Records a request that was refused before it was forwarded. */
  recordRefusal(exchange: InboundExchange, kind: ErrorKind): void;
  /** Removes the request from the queue. */
  leaveQueue(exchange: InboundExchange): void;
  /** Returns the load and the drain state to report with an answer. */
  servingState(runningRequest?: RunningRequest): ServingState;
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

const SERVER_ERROR_STATUS = 500;
const OVERLOAD_STATUS = 503;

/** Runs the chart `inbound_request` for one request. */
export class InboundExchange implements AnswerReceiver, AnswerSource {
  readonly request: ForwardRequest;
  /** Identifier of the request at the admission policy. */
  readonly ticket: number;
  readonly arrivedMs: number;
  /** Monotonic time at which the request was forwarded, in ms; 0 before. */
  startedMs = 0;
  runningRequest: RunningRequest | undefined;
  /** Stage that records the outcome; undefined for requests without a key. */
  keyedExchange: KeyedExchange | undefined;
  readonly #host: InboundHost;
  readonly #receiver: AnswerReceiver;
  readonly #machine: StateMachine;
  #source: AnswerSource | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #result: FinishedRequest["result"] = "cancelled";

  /**
   * @param request Request with its context.
   * @param receiver Stage that receives the answer.
   * @param options Service that owns the slots, and the ticket of the request.
   */
  constructor(
    request: ForwardRequest,
    receiver: AnswerReceiver,
    options: { host: InboundHost; ticket: number },
  ) {
    this.request = request;
    this.ticket = options.ticket;
    this.#receiver = receiver;
    this.#host = options.host;
    this.arrivedMs = options.host.nowMs();
    this.#machine = new StateMachine(INBOUND_CHART, this);
  }

  /** Name of the current state. */
  get state(): string {
    return this.#machine.state;
  }

  /** Starts the timer that ends the request at its deadline. */
  startDeadlineTimer(): void {
    const remainingMs = this.request.context.deadlineMs - this.arrivedMs;
    this.#deadlineTimer = setTimeout(
      () => this.#send("expired"),
      Math.max(0, remainingMs),
    );
  }

  /** Forwards the request, which the admission policy admitted. */
  admit(): void {
    this.#send("admitted");
  }

  /** Records that the admission policy queued the request. */
  markQueued(): void {
    this.#send("queued");
  }

  /**
   * Refuses the request before it is forwarded.
   *
   * @param error Error kind of the refusal.
   */
  refuse(error: ErrorKind): void {
    this.#send("refused", { kind: error, outcome: "not-run" });
  }

  /** @inheritdoc */
  cancel(): void {
    this.#send("cancelled");
  }

  /** @inheritdoc */
  resume(): void {
    this.#source?.resume();
  }

  /** @inheritdoc */
  onHead(head: AnswerHead): void {
    this.#send("answered", head);
  }

  /** @inheritdoc */
  onData(chunk: Buffer): boolean {
    return this.#receiver.onData(chunk);
  }

  /** @inheritdoc */
  onEnd(): void {
    this.#send("ended");
  }

  /** @inheritdoc */
  onFailure(failure: Failure): void {
    // If the upstream made downstream calls, they may have taken effect, so its
    // refusal does not prove that the request had no effect.
    const reported: Failure =
      failure.kind === "upstream_refused" && this.runningRequest?.calledFurther
        ? { kind: "upstream_failed", outcome: "unknown" }
        : failure;
    this.#result = reported.outcome === "not-run" ? "overloaded" : "failed";
    this.#send("failed", reported);
  }

  /** Action: sends the request to the upstream. */
  forward(): void {
    this.startedMs = this.#host.nowMs();
    this.#source = this.#host.forward(this);
  }

  /** Action: relays the head with the state of this daemon. */
  relayHead(head: AnswerHead): void {
    clearTimeout(this.#deadlineTimer);
    this.#result = this.#classifyAnswer(head.status);
    this.#receiver.onHead({
      ...head,
      serving: this.#host.servingState(this.runningRequest),
    });
  }

  /** Action: ends the answer. */
  endAnswer(): void {
    this.#receiver.onEnd();
  }

  /** Action: frees the slot. */
  releaseSlot(): void {
    const nowMs = this.#host.nowMs();
    this.#host.release(this, {
      latencyMs: nowMs - this.startedMs,
      result: this.#result,
      route: this.request.context.routeName,
      rank: rankOf(this.request.context),
      depthCount: this.request.context.depthCount,
      nestedMs: nestedTimeMs(this.runningRequest, nowMs),
    });
  }

  /** Action: cancels the request at the upstream. */
  cancelUpstream(): void {
    this.#result = "cancelled";
    this.#source?.cancel();
  }

  /** Action: removes the request from the queue. */
  leaveQueue(): void {
    this.#host.leaveQueue(this);
  }

  /** Action: answers with a refusal of this daemon. */
  answerRefusal(failure: Failure): void {
    this.#host.recordRefusal(this, failure.kind);
    this.#answer(failure);
  }

  /** Action: answers that the deadline passed in the queue. */
  answerExpiredInQueue(): void {
    this.answerRefusal({ kind: "deadline_unmeetable", outcome: "not-run" });
  }

  /** Action: answers that the deadline passed while the request ran. */
  answerExpired(): void {
    this.#answer({ kind: "deadline_exceeded", outcome: "unknown" });
  }

  /** Action: answers with a failure after the request was admitted. */
  answerFailure(failure: Failure): void {
    this.#answer(failure);
  }

  /** Action: aborts the transfer of a body that ended early. */
  abortAnswer(failure: Failure): void {
    this.#receiver.onFailure(failure);
  }

  /**
   * Classifies an answer for the admission policy. A server error counts as
   * overload, not as a fault of the upstream, when its status is 503 or when a
   * downstream call of the request failed.
   */
  #classifyAnswer(status: number): FinishedRequest["result"] {
    if (status < SERVER_ERROR_STATUS) {
      return "succeeded";
    }
    const isOverload = status === OVERLOAD_STATUS ||
      this.runningRequest?.downstreamFailed === true;
    return isOverload ? "overloaded" : "failed";
  }

  #answer(failure: Failure): void {
    this.#receiver.onFailure({
      ...failure,
      serving: this.#host.servingState(this.runningRequest),
    });
  }

  #send(event: string, data?: unknown): void {
    this.#machine.send(event, data);
    if (this.#machine.isFinal) {
      clearTimeout(this.#deadlineTimer);
    }
  }
}

const INBOUND_CHART = loadChart("inbound_request", InboundExchange.prototype);
