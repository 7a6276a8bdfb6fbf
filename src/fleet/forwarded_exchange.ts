/** A request in the daemon that received it, from admission to answer. */
import { coarseTimeout } from "../core/coarse_timeout.ts";
import { STATUS_SERVER_ERROR_MIN } from "../core/http_status.ts";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { EndUsage } from "../decisions/caps/cap_asker.ts";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import { ExchangeAttempts } from "./exchange_attempts.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import type { AnswerSender, RoutedRequest } from "./routed_request.ts";
import type {
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
  UpstreamAnswer,
  UpstreamChannel,
} from "../link/upstream_channel.ts";

/**
 * Forwards one request to an upstream and retries it after failures, as defined
 * by the chart `forwarded_request`.
 */
export class ForwardedExchange implements ResultReceiver {
  readonly #request: RoutedRequest;
  readonly #answerSender: AnswerSender;
  readonly #parts: ExchangeParts;
  readonly #machine: StateMachine;
  readonly #timer: NodeJS.Timeout;
  readonly #attempts: ExchangeAttempts;
  #attempt: RequestHandle | undefined;
  #mayHaveRun = false;
  #errorAnswer: UpstreamAnswer | undefined;
  #lastFailure: ForwardFailure | undefined;
  #endUsage: EndUsage | undefined;
  /** Whether the last attempt since the last charge may have run. */
  #mayHaveStarted = false;
  /** Time at which the upstream started the last attempt, if that is known. */
  #startedAtMs: number | undefined;
  /** Tells the usage cap the start of the request, once it has asked for it. */
  #markStarted: ((startedAtMs: number | undefined) => void) | undefined;

  /**
   * @param request Admitted request.
   * @param answerSender Sends the answer to the caller.
   * @param parts Parts of the daemon.
   */
  constructor(
    request: RoutedRequest,
    answerSender: AnswerSender,
    parts: ExchangeParts,
  ) {
    this.#request = request;
    this.#answerSender = answerSender;
    this.#parts = parts;
    this.#attempts = new ExchangeAttempts(request, parts);
    this.#machine = new StateMachine(FORWARDED_REQUEST_CHART, this);
    this.#timer = coarseTimeout(
      () => this.#machine.send("expired"),
      request.expiresAtMs - performance.now(),
    );
  }

  /**
   * Charges the usage cap of the tenant, unless the request is a downstream
   * call, and then forwards the request.
   */
  start(): void {
    this.#charge();
  }

  /** Cancels the request because its caller has disconnected. */
  cancel(): void {
    this.#machine.send("cancelled");
  }

  /** @inheritdoc */
  onAnswer(answer: UpstreamAnswer): void {
    this.#attempts.recordReached();
    this.#machine.send("answered", answer);
  }

  /** @inheritdoc */
  onFailure(failure: ForwardFailure): void {
    if (failure.hasReached) {
      this.#attempts.recordReached();
    }
    this.#parts.decisions.record("attempt failed", this.#request.requestId, {
      upstream: this.#attempts.channel?.member.name,
      kind: failure.kind,
      isNotRun: failure.isNotRun,
      hasReached: failure.hasReached,
    });
    if (failure.isNotRun) {
      this.#mayHaveStarted = false;
      this.#attempts.recordNotRun(failure);
      this.#machine.send("refused", failure);
      return;
    }
    this.#mayHaveRun = true;
    this.#machine.send("failed", failure);
  }

  /** @inheritdoc */
  onRunning(runMs: number): void {
    this.#startedAtMs = performance.now() - runMs;
    this.#markStarted?.(this.#startedAtMs);
  }

  /**
   * Guard: whether a request that did not run may be sent to another upstream.
   * If it may, but had reached its upstream, the retry budget is charged.
   */
  mayTryAnotherUpstream(failure: ForwardFailure): boolean {
    return this.#attempts.mayFollowRefusal(failure);
  }

  /**
   * Guard: whether a request that may have run may be retried. If so, the
   * retry budget is charged.
   */
  mayRetry(): boolean {
    return this.#request.route.idempotent && this.#attempts.reserveRetry();
  }

  /**
   * Guard: whether an error answer of an upstream is not passed on, but the
   * request is retried. If so, the retry budget is charged. While a pool that
   * the request uses sheds requests, the error is probably a refused downstream
   * call, and a retry would repeat all calls.
   */
  mayRetryAnswer({ status }: UpstreamAnswer): boolean {
    return status >= STATUS_SERVER_ERROR_MIN &&
      this.#request.route.idempotent &&
      !this.#parts.isShedding(this.#request.route) &&
      this.#attempts.reserveRetry();
  }

  /**
   * Action: keeps an error answer in case no retry succeeds, and charges the usage
   * cap for a retry.
   */
  retryAfterErrorAnswer(answer: UpstreamAnswer): void {
    this.#errorAnswer = answer;
    this.#mayHaveRun = true;
    this.#lastFailure = undefined;
    this.#charge();
  }

  /**
   * Action: counts the request for the retry budget and chooses its first
   * upstream, unless its deadline has passed.
   */
  forward(): void {
    // A request may wait in this process before its start.
    if (performance.now() >= this.#request.expiresAtMs) {
      this.#machine.send("expired");
      return;
    }
    this.#parts.budget.recordRequest(this.#request.pool, performance.now());
    this.chooseUpstream();
  }

  /** Action: answers that the request was not admitted. */
  answerTurnedAway(
    { kind, retryAfterMs }: { kind: ErrorKind; retryAfterMs?: number },
  ): void {
    this.#end(kind);
    this.#answerSender.fail(kind, retryAfterMs);
  }

  /**
   * Action: charges the usage cap for a retry, since the cap counts each run at an
   * upstream.
   */
  chargeRetry(failure: ForwardFailure): void {
    this.#lastFailure = failure;
    this.#charge();
  }

  /**
   * Action: answers with the failure of the last attempt, because the usage cap
   * does not admit a retry. The request may have run, so that the refusal by the
   * cap would be a wrong answer.
   */
  answerUnretried(): void {
    this.#fail(this.#errorKindFor(this.#lastFailure));
  }

  /** Action: chooses an upstream for the next attempt. */
  chooseUpstream(lastFailure?: ForwardFailure): void {
    const channel = this.#attempts.choose();
    if (channel === undefined) {
      this.#machine.send("none", lastFailure);
      return;
    }
    this.#machine.send("chosen", channel);
  }

  /** Action: sends the request to the chosen upstream. */
  sendAttempt(channel: UpstreamChannel): void {
    const { route, headers, goalAtMs, expiresAtMs, isCall } = this.#request;
    const nowMs = performance.now();
    const sendNumber = this.#attempts.recordSend();
    this.#mayHaveStarted = true;
    if (this.#startedAtMs !== undefined) {
      this.#startedAtMs = undefined;
      this.#markStarted?.(undefined);
    }
    const attempt = channel.send({
      upstreamId: channel.state?.upstreamId ?? "",
      method: this.#request.method,
      path: this.#request.path,
      headers,
      body: this.#request.body,
      remainingMs: expiresAtMs - nowMs,
      routeName: route.name,
      goalRemainingMs: goalAtMs - nowMs,
      isRefusable: !isCall,
      callerPool: this.#parts.callerPool,
    }, this);
    // An attempt that was refused at once may have been followed by another one.
    if (sendNumber === this.#attempts.sendsCount) {
      this.#attempt = attempt;
    }
  }

  /** Action: passes the answer to the caller. */
  relayAnswer(answer: UpstreamAnswer): void {
    const channel = this.#attempts.channel as UpstreamChannel;
    this.#parts.channels.recordRun(
      channel,
      this.#request.route.name,
      answer.runMs,
    );
    this.#startedAtMs = performance.now() - answer.runMs;
    this.#sendAnswer(answer);
  }

  /**
   * Action: answers with the failure of the last attempt, or that there is no
   * upstream if none was tried.
   */
  answerFailure(failure?: ForwardFailure): void {
    this.#fail(this.#errorKindFor(failure));
  }

  /** Action: answers that the deadline has passed. */
  answerExpired(): void {
    this.#fail("deadline_exceeded");
  }

  /** Action: cancels the open attempt. */
  cancelAttempt(): void {
    this.#attempt?.cancel();
  }

  /** Action: records that the caller has disconnected. */
  reportCancelled(): void {
    this.#end("cancelled");
  }

  #charge(): void {
    const { tenantName, isCall } = this.#request;
    if (tenantName === undefined || isCall) {
      this.#machine.send("admitted", this.#lastFailure);
      return;
    }
    this.#endCharge();
    this.#markStarted = undefined;
    this.#mayHaveStarted = false;
    let ended: Parameters<EndUsage> | undefined;
    let end: EndUsage | undefined;
    this.#endUsage = (...times) => {
      ended ??= times;
      end?.(...times);
      end = undefined;
    };
    let hasWaited = false;
    end = this.#parts.usage.admit(
      tenantName,
      (decision) => this.#onUsageDecision(decision, hasWaited),
      (markStarted) => {
        this.#markStarted = markStarted;
        this.#attempt?.queryRun?.();
      },
    );
    hasWaited = true;
    // A request that is admitted at once may also end at once.
    if (ended !== undefined) {
      end(...ended);
    }
  }

  #endCharge(): void {
    if (this.#endUsage !== undefined) {
      const nowMs = performance.now();
      const startedAtMs = this.#startedAtMs ?? nowMs;
      this.#endUsage(this.#mayHaveStarted ? startedAtMs : undefined, nowMs);
    }
  }

  #onUsageDecision(decision: CapDecision, hasWaited: boolean): void {
    if (!decision.isAdmitted) {
      const { retryAfterMs } = decision;
      this.#machine.send("turnedAway", { kind: "usage_capped", retryAfterMs });
      return;
    }
    // A process that was paused may handle the decision before the timer.
    if (hasWaited && performance.now() >= this.#request.expiresAtMs) {
      this.#machine.send("expired");
      return;
    }
    const kind = hasWaited ? this.#parts.recheckKey(this.#request) : undefined;
    if (kind !== undefined) {
      this.#machine.send("turnedAway", { kind });
      return;
    }
    this.#machine.send("admitted", this.#lastFailure);
  }

  /**
   * Returns the error kind for the caller. A kind that states that the request
   * did not run is used only when this is certain for every attempt.
   */
  #errorKindFor(failure: ForwardFailure | undefined): ErrorKind {
    const kind = failure?.kind ?? "no_upstream";
    if (!this.#mayHaveRun) {
      return kind === "deadline_exceeded" ? "deadline_exceeded" : kind;
    }
    return failure?.isNotRun === false ? kind : "upstream_failed";
  }

  /**
   * Answers with an error answer of an upstream if there was one, which says
   * more than the failure of the retry.
   */
  #fail(kind: ErrorKind): void {
    if (this.#errorAnswer !== undefined) {
      this.#sendAnswer(this.#errorAnswer);
      return;
    }
    this.#end(kind);
    this.#answerSender.fail(kind);
  }

  #sendAnswer(answer: UpstreamAnswer): void {
    this.#end(`answered ${answer.status}`);
    // The daemon of the upstream compared the id in the answer with that of the
    // request and removed the header, so it is added again.
    const { requestId } = this.#request;
    const headers = requestId === ""
      ? answer.headers
      : [...answer.headers, this.#parts.requestIdHeader, requestId];
    this.#answerSender.answer({ ...answer, headers });
  }

  #end(outcome: string): void {
    clearTimeout(this.#timer);
    this.#endCharge();
    const { requestId, arrivedAtMs, inputDelayMs } = this.#request;
    const { route, pool, isCall, tenantName } = this.#request;
    this.#parts.onEnd(this.#request, outcome);
    this.#parts.decisions.record("ended", requestId, {
      route: route.name,
      pool,
      tenant: tenantName,
      isCall,
      outcome,
      upstream: this.#attempts.channel?.member.name,
      offersCount: this.#attempts.sendsCount,
      reachedCount: this.#attempts.reachedCount,
      tookMs: Math.round(performance.now() - arrivedAtMs),
      inputDelayMs: Math.round(inputDelayMs),
    });
  }
}

const FORWARDED_REQUEST_CHART = loadChart(
  "forwarded_request",
  ForwardedExchange.prototype,
);
