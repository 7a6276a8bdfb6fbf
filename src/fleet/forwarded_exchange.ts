/** A request in the daemon at which it entered, from admission to answer. */
import { coarseTimeout } from "../core/coarse_timeout.ts";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { RepeatBudget } from "../decisions/repeat_budget.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { PathTable } from "./path_table.ts";
import type {
  ForwardFailure,
  ResultReceiver,
  SentRequest,
  UpstreamAnswer,
  UpstreamPath,
} from "../link/upstream_path.ts";

/** Maximum number of daemons to which one request is sent. */
const OFFERS_MAX_COUNT = 4;
/** Time below which a repeat is unlikely to be answered before the deadline. */
const REPEAT_REMAINING_MIN_MS = 30;

/** A received request with its route, pool and deadlines. */
export type IncomingRequest = {
  /** Id of the caller's attempt, for logs. */
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array | null;
  readonly route: FleetRoute;
  readonly pool: string;
  /** Monotonic time of arrival, in ms. */
  readonly arrivedMs: number;
  /** Deadline of the answer, as a monotonic time in ms. */
  readonly expiresAtMs: number;
  /** Latency goal, as a monotonic time in ms; later answers have less value. */
  readonly goalAtMs: number;
  /** Whether an upstream sent it while it ran another request. */
  readonly isCall: boolean;
};

/** Sends the answer to the caller. */
export interface ReplySink {
  /** Sends the answer of an upstream. */
  answer(answer: UpstreamAnswer): void;
  /** Sends the answer of an error kind. */
  fail(kind: ErrorKind): void;
}

/** Parts of the daemon that all exchanges share. */
export type ExchangeParts = {
  paths: PathTable;
  budget: RepeatBudget;
  decisions: DecisionLog;
  /** Pool of this daemon's instance. */
  callerPool: string;
  /** Name of the header with the caller's request id. */
  requestIdHeader: string;
  /** Number of daemons that share the repeat budget. */
  daemonsCount: () => number;
  /** Runs that one request of a route causes, with those of its calls. */
  runsPerRequest: (routeName: string) => number;
  /** Called at the end of each request, for metrics. */
  onEnd: (request: IncomingRequest, outcome: string) => void;
};

/** Runs the chart `forwarded_request`. */
export class ForwardedExchange implements ResultReceiver {
  readonly #request: IncomingRequest;
  readonly #reply: ReplySink;
  readonly #parts: ExchangeParts;
  readonly #machine: StateMachine;
  readonly #timer: NodeJS.Timeout;
  readonly #tried = new Set<string>();
  #path: UpstreamPath | undefined;
  #sent: SentRequest | undefined;
  #offersCount = 0;
  #reachedCount = 0;
  #mayHaveRun = false;

  /**
   * @param request Admitted request.
   * @param reply Sends the answer.
   * @param parts Shared parts.
   */
  constructor(
    request: IncomingRequest,
    reply: ReplySink,
    parts: ExchangeParts,
  ) {
    this.#request = request;
    this.#reply = reply;
    this.#parts = parts;
    this.#machine = new StateMachine(FORWARDED_CHART, this);
    this.#timer = coarseTimeout(
      () => this.#machine.send("expired"),
      request.expiresAtMs - performance.now(),
    );
  }

  /** Counts the request and chooses its first upstream. */
  start(): void {
    this.#parts.budget.recordRequest(this.#request.pool, performance.now());
    this.chooseUpstream();
  }

  /** Cancels the request because its caller has disconnected. */
  cancel(): void {
    this.#machine.send("cancelled");
  }

  /** @inheritdoc */
  onAnswer(answer: UpstreamAnswer): void {
    this.#machine.send("answered", answer);
  }

  /** @inheritdoc */
  onFailure(failure: ForwardFailure): void {
    if (failure.hasReached) {
      this.#reachedCount++;
    }
    this.#parts.decisions.record("attempt failed", this.#request.requestId, {
      upstream: this.#path?.member.name,
      kind: failure.kind,
      isNotRun: failure.isNotRun,
      hasReached: failure.hasReached,
    });
    if (failure.isNotRun) {
      this.#machine.send("refused", failure);
      return;
    }
    this.#mayHaveRun = true;
    this.#machine.send("failed", failure);
  }

  /** Guard: a request that did not run may be sent to another upstream. */
  mayTryAnotherUpstream(failure: ForwardFailure): boolean {
    return failure.kind !== "deadline_exceeded" &&
      this.#offersCount < OFFERS_MAX_COUNT &&
      (!failure.hasReached || this.#mayReachAgain());
  }

  /** Guard: a request that may have run may be repeated. */
  mayRepeat(): boolean {
    return this.#request.route.idempotent &&
      this.#offersCount < OFFERS_MAX_COUNT && this.#mayReachAgain();
  }

  /** Action: chooses an upstream that has not been tried. */
  chooseUpstream(lastFailure?: ForwardFailure): void {
    const { pool, route, expiresAtMs } = this.#request;
    const path = this.#parts.paths.choose(pool, {
      routeName: route.name,
      remainingMs: expiresAtMs - performance.now(),
      tried: this.#tried,
    });
    if (path === undefined) {
      this.#machine.send("none", lastFailure);
      return;
    }
    this.#path = path;
    this.#machine.send("chosen", path);
  }

  /** Action: sends the request to the chosen upstream. */
  sendAttempt(path: UpstreamPath): void {
    const { route, headers, goalAtMs, expiresAtMs, isCall } = this.#request;
    const nowMs = performance.now();
    this.#offersCount++;
    this.#tried.add(path.member.name);
    this.#sent = path.send({
      upstreamId: path.state?.upstreamId ?? "",
      method: this.#request.method,
      path: this.#request.path,
      headers,
      body: this.#request.body,
      remainingMs: expiresAtMs - nowMs,
      routeName: route.name,
      goalLeftMs: goalAtMs - nowMs,
      isRefusable: !isCall,
      callerPool: this.#parts.callerPool,
    }, this);
  }

  /** Action: passes the answer to the caller. */
  relayAnswer(answer: UpstreamAnswer): void {
    const path = this.#path as UpstreamPath;
    this.#parts.paths.recordRun(path, this.#request.route.name, answer.runMs);
    this.#end(`answered ${answer.status}`);
    // The daemon beside the upstream checks the id and removes the header.
    const { requestId } = this.#request;
    const headers = requestId === ""
      ? answer.headers
      : [...answer.headers, this.#parts.requestIdHeader, requestId];
    this.#reply.answer({ ...answer, headers });
  }

  /** Action: answers with the failure of the last attempt. */
  answerFailure(failure?: ForwardFailure): void {
    this.#fail(this.#publicKind(failure));
  }

  /** Action: answers that the deadline has passed. */
  answerExpired(): void {
    this.#fail("deadline_exceeded");
  }

  /** Action: cancels the open attempt. */
  cancelAttempt(): void {
    this.#sent?.cancel();
  }

  /** Action: records that the caller has disconnected. */
  reportCancelled(): void {
    this.#end("cancelled");
  }

  /**
   * Kind of the answer to the caller. A kind that states that the request did
   * not run is used only when this is certain for every attempt.
   */
  #publicKind(failure: ForwardFailure | undefined): ErrorKind {
    const kind = failure?.kind ?? "no_upstream";
    if (!this.#mayHaveRun) {
      return kind === "deadline_exceeded" ? "deadline_exceeded" : kind;
    }
    return failure?.isNotRun === false ? kind : "upstream_failed";
  }

  #mayReachAgain(): boolean {
    const { route, pool, expiresAtMs } = this.#request;
    const nowMs = performance.now();
    return this.#reachedCount < route.attemptsMax &&
      expiresAtMs - nowMs > REPEAT_REMAINING_MIN_MS &&
      this.#parts.budget.take(pool, {
        nowMs,
        daemonsCount: this.#parts.daemonsCount(),
        cost: this.#parts.runsPerRequest(route.name),
      });
  }

  #fail(kind: ErrorKind): void {
    this.#end(kind);
    this.#reply.fail(kind);
  }

  #end(outcome: string): void {
    clearTimeout(this.#timer);
    const { requestId, arrivedMs, route, pool, isCall } = this.#request;
    this.#parts.onEnd(this.#request, outcome);
    this.#parts.decisions.record("ended", requestId, {
      route: route.name,
      pool,
      isCall,
      outcome,
      upstream: this.#path?.member.name,
      offersCount: this.#offersCount,
      reachedCount: this.#reachedCount,
      tookMs: Math.round(performance.now() - arrivedMs),
    });
  }
}

const FORWARDED_CHART = loadChart(
  "forwarded_request",
  ForwardedExchange.prototype,
);
