/** A request in the daemon that received it, from admission to answer. */
import { coarseTimeout } from "../core/coarse_timeout.ts";
import { STATUS_SERVER_ERROR_MIN } from "../core/http_status.ts";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { EndUsage } from "../decisions/caps/cap_asker.ts";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";
import type { RetryBudget } from "../decisions/retry_budget.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { ChannelTable } from "./channel_table.ts";
import type { AnswerSender, RoutedRequest } from "./routed_request.ts";
import type { UsageCapGate } from "./usage_cap_gate.ts";
import type {
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
  UpstreamAnswer,
  UpstreamChannel,
} from "../link/upstream_channel.ts";

/**
 * Maximum number of daemons to which one request is sent, including daemons
 * that refuse it before it reaches their upstream.
 */
const SENDS_MAX_COUNT = 4;
/**
 * Maximum number of sends to a pool whose upstreams refuse a share of what
 * arrives. With half of them refused, 1 request in 256 is refused each time.
 */
const REFUSED_SENDS_MAX_COUNT = 8;
/**
 * Minimum time until the deadline for a retry. With less time, an answer
 * before the deadline is unlikely.
 */
const RETRY_REMAINING_MIN_MS = 30;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Parts of the daemon that all exchanges share. */
export type ExchangeParts = {
  channels: ChannelTable;
  budget: RetryBudget;
  decisions: DecisionLog;
  /** Pool of this daemon's instance. */
  callerPool: string;
  /** Name of the header with the caller's request id, in lower case. */
  requestIdHeader: string;
  /** Number of daemons that share the retry budget. */
  daemonsCount: () => number;
  /**
   * Number of runs that one request of a route causes: its own and those of its
   * downstream calls.
   */
  runsPerRequest: (routeName: string) => number;
  /** Whether a pool that requests of a route use admits only a part of them. */
  isShedding: (route: FleetRoute) => boolean;
  /** Whether the upstreams of a pool refuse more than retries make up for. */
  isRefusing: (pool: string) => boolean;
  /** Usage caps of the tenants. */
  usage: UsageCapGate;
  /**
   * Checks the key of a request again after it has waited. Returns the kind of
   * the refusal; undefined when the request may be forwarded.
   */
  recheckKey: (request: RoutedRequest) => ErrorKind | undefined;
  /** Called at the end of each request, for metrics. */
  onEnd: (request: RoutedRequest, outcome: string) => void;
};

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
  #tried: Set<string> | undefined;
  #channel: UpstreamChannel | undefined;
  #attempt: RequestHandle | undefined;
  #sendsCount = 0;
  /** Upstreams that were reached by an attempt. */
  #reachedCount = 0;
  /** Those that have refused the request and were not lost afterwards. */
  #refusing: UpstreamChannel[] | undefined;
  /** Whether the request is sent again to an upstream that has refused it. */
  #isSentAgain = false;
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
    this.#countReached();
    this.#machine.send("answered", answer);
  }

  /** @inheritdoc */
  onFailure(failure: ForwardFailure): void {
    if (failure.hasReached) {
      this.#countReached();
    }
    this.#parts.decisions.record("attempt failed", this.#request.requestId, {
      upstream: this.#channel?.member.name,
      kind: failure.kind,
      isNotRun: failure.isNotRun,
      hasReached: failure.hasReached,
    });
    if (failure.isNotRun) {
      this.#mayHaveStarted = false;
      this.#updateRefusing(failure);
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
    if (failure.kind === "deadline_exceeded") {
      return false;
    }
    const { isCall, pool } = this.#request;
    if (failure.hasReached && isCall && this.#parts.isRefusing(pool)) {
      return this.#maySendAgain();
    }
    const sendsMaxCount = this.#isSentAgain
      ? REFUSED_SENDS_MAX_COUNT
      : SENDS_MAX_COUNT;
    return this.#sendsCount < sendsMaxCount &&
      (!failure.hasReached || this.#reserveRetry());
  }

  /**
   * Guard: whether a request that may have run may be retried. If so, the
   * retry budget is charged.
   */
  mayRetry(): boolean {
    return this.#request.route.idempotent &&
      this.#sendsCount < SENDS_MAX_COUNT && this.#reserveRetry();
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
      this.#sendsCount < SENDS_MAX_COUNT && this.#reserveRetry();
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
   * upstream.
   */
  forward(): void {
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

  /** Action: chooses an upstream that has not been tried. */
  chooseUpstream(lastFailure?: ForwardFailure): void {
    const { pool, route, expiresAtMs } = this.#request;
    // The route bounds the number of upstreams, and one that refuses a share of
    // its requests takes the next one as probably as another upstream does.
    if (
      this.#channel !== undefined && this.#reachedCount >= route.attemptsMax
    ) {
      this.#sendAgain(lastFailure);
      return;
    }
    if (this.#channel !== undefined) {
      this.#tried ??= new Set();
      this.#tried.add(this.#channel.member.name);
    }
    const channel = this.#parts.channels.choose(pool, {
      routeName: route.name,
      remainingMs: expiresAtMs - performance.now(),
      tried: this.#tried ?? NONE_TRIED,
    });
    if (channel === undefined) {
      this.#machine.send("none", lastFailure);
      return;
    }
    this.#channel = channel;
    this.#machine.send("chosen", channel);
  }

  /** Action: sends the request to the chosen upstream. */
  sendAttempt(channel: UpstreamChannel): void {
    const { route, headers, goalAtMs, expiresAtMs, isCall } = this.#request;
    const nowMs = performance.now();
    const sendNumber = ++this.#sendsCount;
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
    if (sendNumber === this.#sendsCount) {
      this.#attempt = attempt;
    }
  }

  /** Action: passes the answer to the caller. */
  relayAnswer(answer: UpstreamAnswer): void {
    const channel = this.#channel as UpstreamChannel;
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

  /** Notes whether the upstream of the last attempt may get the request again. */
  #updateRefusing({ hasReached }: ForwardFailure): void {
    const channel = this.#channel as UpstreamChannel;
    const others = this.#refusing?.filter((other) => other !== channel) ?? [];
    this.#refusing = hasReached ? [...others, channel] : others;
  }

  /** Chooses the upstream again that has refused the request last. */
  #sendAgain(lastFailure: ForwardFailure | undefined): void {
    const channel = this.#refusing?.at(-1);
    if (channel === undefined) {
      this.#machine.send("none", lastFailure);
      return;
    }
    this.#isSentAgain = true;
    this.#channel = channel;
    this.#machine.send("chosen", channel);
  }

  /** Counts the upstream of the last attempt, unless it was reached before. */
  #countReached(): void {
    this.#reachedCount += this.#isSentAgain ? 0 : 1;
  }

  /**
   * Returns whether a refused downstream call is sent again, to another upstream
   * or to the same one. If so, the retry budget is charged. Calls that make calls
   * of their own are not, since a retry would repeat these.
   */
  #maySendAgain(): boolean {
    const { route, pool, expiresAtMs } = this.#request;
    const nowMs = performance.now();
    return this.#sendsCount < REFUSED_SENDS_MAX_COUNT &&
      this.#parts.runsPerRequest(route.name) <= 1 &&
      expiresAtMs - nowMs > RETRY_REMAINING_MIN_MS &&
      this.#parts.budget.takeForRefused(pool, {
        nowMs,
        daemonsCount: this.#parts.daemonsCount(),
      });
  }

  /**
   * Charges the retry budget for one more attempt. Returns false, without a
   * charge, if the route, the deadline or the budget does not allow it.
   */
  #reserveRetry(): boolean {
    const { route, pool, expiresAtMs } = this.#request;
    const nowMs = performance.now();
    return this.#reachedCount < route.attemptsMax &&
      expiresAtMs - nowMs > RETRY_REMAINING_MIN_MS &&
      this.#parts.budget.take(pool, {
        nowMs,
        daemonsCount: this.#parts.daemonsCount(),
        cost: this.#parts.runsPerRequest(route.name),
      });
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
    const { requestId, arrivedAtMs, route, pool, isCall, tenantName } =
      this.#request;
    this.#parts.onEnd(this.#request, outcome);
    this.#parts.decisions.record("ended", requestId, {
      route: route.name,
      pool,
      tenant: tenantName,
      isCall,
      outcome,
      upstream: this.#channel?.member.name,
      offersCount: this.#sendsCount,
      reachedCount: this.#reachedCount,
      tookMs: Math.round(performance.now() - arrivedAtMs),
    });
  }
}

const FORWARDED_REQUEST_CHART = loadChart(
  "forwarded_request",
  ForwardedExchange.prototype,
);
