/** One request in the daemon that chooses an upstream for it. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { AttemptResult } from "../decisions/selection/upstream_selector.ts";
import type { Endpoint } from "../decisions/selection/upstream_directory.ts";
import type { Selection } from "../decisions/selection/upstream_selector.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { RequestRecord } from "../telemetry/request_observer.ts";
import type {
  AnswerHead,
  AnswerReceiver,
  AnswerSource,
  Failure,
  ForwardRequest,
  ServingState,
} from "./answer_receiver.ts";

/** Operations of the service that an outbound exchange uses. */
export interface OutboundHost {
  /** Chooses an endpoint for the next attempt. */
  choose(exchange: OutboundExchange): Selection;
  /** Sends an attempt. */
  sendAttempt(exchange: OutboundExchange, endpoint: Endpoint): AnswerSource;
  /** Decides whether to retry and charges a retry to the budget. */
  mayRetry(exchange: OutboundExchange, failure: Failure): boolean;
  /** Records the end of an attempt. */
  finishAttempt(result: AttemptResult): void;
  /** Records the end of the request. */
  finish(
    exchange: OutboundExchange,
    result: RequestRecord["result"],
    failure?: Failure,
  ): void;
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

type Attempt = {
  readonly endpoint: Endpoint;
  readonly startedMs: number;
  serving?: ServingState;
};

const OVERLOAD_KINDS: ReadonlySet<ErrorKind> = new Set([
  "shed",
  "queue_full",
  "queue_timeout",
  "deadline_unmeetable",
  "upstream_refused",
  "draining",
  "memory_short",
]);
const SERVER_ERROR_STATUS = 500;

/**
 * Returns whether a failure is a refusal because of overload or drain.
 *
 * @param failure Failure of an attempt.
 * @returns True for refusals that are no sign of an unhealthy endpoint.
 */
export function isOverloadRefusal(failure: Failure): boolean {
  return OVERLOAD_KINDS.has(failure.kind);
}

/** Runs the chart `outbound_request` for one request. */
export class OutboundExchange implements AnswerReceiver, AnswerSource {
  readonly request: ForwardRequest;
  readonly arrivedMs: number;
  /** Attempts that were sent. */
  attemptsCount = 0;
  /** Instances that refused or failed this request. */
  readonly excludedIds: string[] = [];
  readonly #receiver: AnswerReceiver;
  readonly #host: OutboundHost;
  readonly #machine: StateMachine;
  #attempt: Attempt | undefined;
  #source: AnswerSource | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #headStatus = 0;
  #lastFailure: Failure | undefined;
  /** Whether an attempt ended without proof that it did not run. */
  #mayHaveRun = false;

  /**
   * @param request Request with its context.
   * @param receiver Stage that receives the answer.
   * @param host Service that chooses endpoints and sends attempts.
   */
  constructor(
    request: ForwardRequest,
    receiver: AnswerReceiver,
    host: OutboundHost,
  ) {
    this.request = request;
    this.#receiver = receiver;
    this.#host = host;
    this.arrivedMs = host.nowMs();
    this.#machine = new StateMachine(OUTBOUND_CHART, this);
  }

  /** Name of the current state. */
  get state(): string {
    return this.#machine.state;
  }

  /** Starts the deadline timer and the first attempt. */
  start(): void {
    const remainingMs = this.request.context.deadlineMs - this.arrivedMs;
    this.#deadlineTimer = setTimeout(
      () => this.#send("expired"),
      Math.max(0, remainingMs),
    );
    this.chooseUpstream();
  }

  /** @inheritdoc */
  cancel(): void {
    if (this.#send("cancelled")) {
      this.#host.finish(this, "cancelled");
    }
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
    this.#lastFailure = failure;
    this.#mayHaveRun ||= failure.outcome !== "not-run";
    const { serving } = failure;
    // A failure of a downstream service is no sign of an unhealthy endpoint.
    const isOverload = isOverloadRefusal(failure) ||
      serving?.exhausted === true;
    this.#endAttempt(isOverload ? "overloaded" : "failed", { serving });
    this.#send("attemptFailed", failure);
  }

  /** Action: chooses the endpoint of the next attempt. */
  chooseUpstream(): void {
    const selection = this.#host.choose(this);
    if (selection.kind === "chosen") {
      this.#send("chosen", selection.endpoint);
      return;
    }
    // When no other endpoint is left, the caller gets the failure of the last
    // attempt, which is more informative.
    const noEndpoint: Failure = { kind: selection.error, outcome: "not-run" };
    this.#send("none", this.#lastFailure ?? noEndpoint);
  }

  /** Action: sends an attempt to the chosen endpoint. */
  sendAttempt(endpoint: Endpoint): void {
    const attempt = { endpoint, startedMs: this.#host.nowMs() };
    this.#attempt = attempt;
    this.#source = undefined;
    this.attemptsCount++;
    const source = this.#host.sendAttempt(this, endpoint);
    // The attempt may have failed and been replaced during the call.
    if (this.#attempt === attempt) {
      this.#source = source;
    }
  }

  /** Guard: whether the failed attempt is retried. */
  mayRetry(failure: Failure): boolean {
    return this.#host.mayRetry(this, failure);
  }

  /** Action: relays the head. */
  relayHead(head: AnswerHead): void {
    clearTimeout(this.#deadlineTimer);
    this.#headStatus = head.status;
    if (this.#attempt !== undefined) {
      this.#attempt.serving = head.serving;
    }
    this.#receiver.onHead(head);
  }

  /** Action: ends the answer. */
  endAnswer(): void {
    this.#endAttempt(this.#classifyAnswer());
    this.#receiver.onEnd();
    this.#host.finish(this, "complete");
  }

  /** Action: answers with a failure after which no attempt follows. */
  answerFailure(failure: Failure): void {
    const finalFailure = this.#toFinalFailure(failure);
    this.#receiver.onFailure(finalFailure);
    this.#host.finish(this, finalFailure.kind, finalFailure);
  }

  /** Action: answers that the deadline passed. */
  answerExpired(): void {
    const failure: Failure = this.attemptsCount === 0
      ? { kind: "deadline_unmeetable", outcome: "not-run" }
      : { kind: "deadline_exceeded", outcome: "unknown" };
    this.answerFailure(failure);
  }

  /** Action: aborts the transfer of a body that ended early. */
  abortAnswer(failure: Failure): void {
    this.#receiver.onFailure(failure);
    this.#host.finish(this, "broken", failure);
  }

  /** Action: cancels the running attempt. */
  cancelAttempt(): void {
    this.#endAttempt("cancelled");
    this.#source?.cancel();
  }

  #classifyAnswer(): AttemptResult["result"] {
    if (this.#headStatus < SERVER_ERROR_STATUS) {
      return "succeeded";
    }
    return this.#attempt?.serving?.exhausted === true ? "overloaded" : "failed";
  }

  /**
   * Makes the outcome cover all attempts instead of only the last one. If a
   * keyed request ends with `no_upstream` and has not run, reports that the home
   * of the key cannot be reached.
   */
  #toFinalFailure(failure: Failure): Failure {
    if (this.#mayHaveRun) {
      return { ...failure, outcome: "unknown" };
    }
    const keyed = this.request.context.idempotencyKey !== undefined;
    return keyed && failure.kind === "no_upstream"
      ? { ...failure, kind: "key_home_unreachable" }
      : failure;
  }

  #endAttempt(
    result: AttemptResult["result"],
    { serving }: { serving?: ServingState } = {},
  ): void {
    const attempt = this.#attempt;
    if (attempt === undefined) {
      return;
    }
    this.#attempt = undefined;
    const { instanceId } = attempt.endpoint;
    if (result === "failed" || result === "overloaded") {
      this.excludedIds.push(instanceId);
    }
    const state = serving ?? attempt.serving;
    this.#host.finishAttempt({
      instanceId,
      result,
      latencyMs: this.#host.nowMs() - attempt.startedMs,
      load: state?.load,
    });
  }

  #send(event: string, data?: unknown): boolean {
    const taken = this.#machine.send(event, data);
    if (this.#machine.isFinal) {
      clearTimeout(this.#deadlineTimer);
    }
    return taken;
  }
}

const OUTBOUND_CHART = loadChart(
  "outbound_request",
  OutboundExchange.prototype,
);
