/** Routes, admits and forwards requests of callers and downstream calls. */
import type { RandomSource } from "../core/random.ts";
import type {
  CallGraph,
  CallObserver,
} from "../decisions/routing/call_graph.ts";
import { LargeAnswers } from "../decisions/memory/large_answers.ts";
import { spreadRetryAfterMs } from "../decisions/sharing/retry_after.ts";
import { bearerKey } from "../decisions/tenants/credential.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import { callGoalAtMs } from "../decisions/sharing/call_goal.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { Authenticator, RequestAccess } from "./authenticator.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import { ForwardedExchange } from "./forwarded_exchange.ts";
import type { OutboundHandler, ReceivedRequest } from "./outbound_listener.ts";
import type { AnswerSender, RoutedRequest } from "./routed_request.ts";
import type { ServedRequest } from "./served_request.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Minimum time until a caller should retry a request refused for overload. */
const OVERLOAD_RETRY_MS = 900;
/** Upper bound of the random time that is added to it. */
const OVERLOAD_RETRY_JITTER_MAX_MS = 900;
/** Time until a caller should retry a request after a transient fault. */
const FAULT_RETRY_MS = 250;
/**
 * Maximum bytes of large answers that are held for callers or expected. A process
 * may have 250 MB, and an answer is in memory more than once while it arrives.
 */
const ANSWERS_MAX_BYTES = 100_000_000;
/**
 * Mean run times that must be left until the end of the process for a call to be
 * taken. The mean does not include waiting, and half of the runs take longer.
 */
const LATE_CALL_RUN_FACTOR = 2;
/** Kinds after which a caller should wait as after a refusal for overload. */
const OVERLOAD_KINDS: readonly ErrorKind[] = [
  "shed",
  "queue_full",
  "upstream_refused",
  "credential_unverifiable",
  "memory_short",
  "chunks_too_small",
];

/** Parts of the daemon that {@link OutboundService} uses. */
export type OutboundServiceParts = {
  names: HeaderNames;
  /** Id of the request that makes a downstream call, if the id tells it. */
  decodeParentId: (requestId: string) => string | undefined;
  config: ConfigFollower;
  gate: UpstreamGate;
  graph: CallGraph;
  observer: CallObserver;
  admission: EntryAdmission;
  authenticator: Authenticator;
  /**
   * Bytes of the answers that callers have not read completely. A function,
   * because the listener is constructed later.
   */
  heldBytes: () => number;
  random: RandomSource;
  exchange: ExchangeParts;
};

/** Running request that makes a downstream call. */
type CallParent = {
  readonly served: ServedRequest;
  /** Whether the id of the call names it; otherwise their deadlines match. */
  readonly isNamed: boolean;
};

/** Request that a pool has refused at the entry. */
type RefusalCause = {
  readonly request: RoutedRequest;
  readonly refusingPool: string;
  /** Time that its caller waits for the answer, in ms. */
  readonly remainingMs: number;
};

/** Handles the requests of the outbound listener. */
export class OutboundService implements OutboundHandler {
  readonly #parts: OutboundServiceParts;
  readonly #droppedHeaders: readonly string[];
  /** Headers that are dropped while the configuration has tenants. */
  readonly #droppedForTenants: readonly string[];
  readonly #largeAnswers = new LargeAnswers(ANSWERS_MAX_BYTES);
  /**
   * Monotonic time at which the stopping process ends at the latest, in ms;
   * undefined while new requests are accepted.
   */
  #endsAtMs: number | undefined;

  /**
   * @param parts Parts of the daemon.
   */
  constructor(parts: OutboundServiceParts) {
    this.#parts = parts;
    const { deadlineMs, targetUpstream, callerPool, tenant } = parts.names;
    this.#droppedHeaders = [deadlineMs, targetUpstream, callerPool];
    this.#droppedForTenants = [
      ...this.#droppedHeaders,
      "authorization",
      tenant,
    ];
  }

  /**
   * From now on, refuses new requests, but not the downstream calls of requests
   * that run at the local upstream, as long as they can end in time.
   *
   * @param endsAtMs Monotonic time at which the process ends at the latest, in
   *   ms.
   */
  stop(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }

  /** @inheritdoc */
  handle(received: ReceivedRequest, answerSender: AnswerSender): () => void {
    const { message } = received;
    const routes = this.#parts.config.routes;
    if (routes === undefined) {
      return this.#refuse(received, "not_ready", answerSender);
    }
    const path = message.url ?? "/";
    const route = routes.match(message.headers.host ?? "", path);
    if (route === undefined) {
      return this.#refuse(received, "no_route", answerSender);
    }
    const callerTimeoutMs = this.#callerTimeoutMs(received);
    const hasTenants = routes.tenants !== undefined;
    const key = hasTenants
      ? bearerKey(message.headers.authorization)
      : undefined;
    // Endpoints make calls without a key.
    const parent = key === undefined
      ? this.#findParent(received, callerTimeoutMs)
      : undefined;
    const access = hasTenants
      ? this.#authenticate(received, { route, key, parent })
      : { priority: route.priority };
    if (access.refusal !== undefined) {
      return this.#refuse(received, access.refusal, answerSender);
    }
    const pool = routes.choosePool(route);
    if (
      this.#endsAtMs !== undefined &&
      !(this.#isCallOf(parent, route) &&
        this.#canRunUntil(this.#endsAtMs, route, pool))
    ) {
      return this.#refuse(received, "draining", answerSender);
    }
    if (!this.#largeAnswers.admits(route.name, this.#parts.heldBytes())) {
      return this.#refuse(received, "shed", answerSender);
    }
    const request = this.#createRequest(received, {
      route,
      pool,
      callerTimeoutMs,
      parent,
      key,
      access,
    });
    if (!request.isCall) {
      const refusingPool = this.#parts.admission.findRefusingPool(
        route,
        request,
      );
      if (refusingPool !== undefined) {
        return this.#refuse(received, "shed", answerSender, {
          request,
          refusingPool,
          remainingMs: callerTimeoutMs,
        });
      }
    }
    const caller = request.isCall ? parent?.served : undefined;
    return this.#forward(request, answerSender, caller);
  }

  /** @inheritdoc */
  retryAfterMs(kind: ErrorKind): number | undefined {
    if (errorAnswer(kind).retry !== "always") {
      return undefined;
    }
    return OVERLOAD_KINDS.includes(kind)
      ? OVERLOAD_RETRY_MS +
        OVERLOAD_RETRY_JITTER_MAX_MS * this.#parts.random.nextFloat()
      : FAULT_RETRY_MS;
  }

  /** Forwards a request. Returns a function that cancels it. */
  #forward(
    request: RoutedRequest,
    answerSender: AnswerSender,
    caller: ServedRequest | undefined,
  ): () => void {
    const { name } = request.route;
    this.#largeAnswers.start(name);
    caller?.callTimes.start(performance.now());
    const end = (answerBytes?: number) => {
      this.#largeAnswers.end(name, answerBytes);
      caller?.callTimes.end(performance.now());
    };
    const exchange = new ForwardedExchange(
      request,
      {
        answer: (answer) => {
          end(answer.body?.length ?? 0);
          answerSender.answer(answer);
        },
        fail: (kind, retryAfterMs) => {
          end();
          answerSender.fail(kind, retryAfterMs);
        },
      },
      this.#parts.exchange,
    );
    exchange.start();
    return () => {
      end();
      exchange.cancel();
    };
  }

  /** Time that the caller waits for the answer, in ms. */
  #callerTimeoutMs({ message }: ReceivedRequest): number {
    const timeoutMs = Number(
      message.headers[this.#parts.names.deadlineMs] ?? Infinity,
    );
    return Number.isFinite(timeoutMs) ? timeoutMs : Infinity;
  }

  #requestId({ message }: ReceivedRequest): string {
    return String(message.headers[this.#parts.names.requestId] ?? "");
  }

  /** Finds the request at the local upstream that makes a call. */
  #findParent(
    received: ReceivedRequest,
    callerTimeoutMs: number,
  ): CallParent | undefined {
    const { gate, decodeParentId } = this.#parts;
    const named = gate.findRunning(decodeParentId(this.#requestId(received)));
    if (named !== undefined) {
      return { served: named, isNamed: true };
    }
    const served = gate.findParent(received.arrivedAtMs + callerTimeoutMs);
    return served && { served, isNamed: false };
  }

  /**
   * Returns whether a request is a downstream call of this parent. A matching
   * deadline is sufficient only if the parent's route calls that of the request,
   * or may call it, because a caller's request may have the same one by chance.
   * That other endpoints call the route is not sufficient, because callers send
   * requests of called routes, too.
   */
  #isCallOf(parent: CallParent | undefined, route: FleetRoute): boolean {
    if (parent === undefined || parent.isNamed) {
      return parent !== undefined;
    }
    const { graph, observer } = this.#parts;
    const { routeName } = parent.served.request;
    return graph.calls(routeName, route.name) ||
      !observer.hasEnoughRuns(routeName);
  }

  #authenticate(
    received: ReceivedRequest,
    { route, key, parent }: {
      route: FleetRoute;
      key: string | undefined;
      parent: CallParent | undefined;
    },
  ): RequestAccess {
    const { authenticator, decodeParentId } = this.#parts;
    return authenticator.authenticate({
      route,
      key,
      parent: this.#isCallOf(parent, route) ? parent?.served : undefined,
      hasCallId: decodeParentId(this.#requestId(received)) !== undefined,
    });
  }

  /** Returns whether a request that is sent now will probably run in time. */
  #canRunUntil(endsAtMs: number, route: FleetRoute, pool: string): boolean {
    const { channels } = this.#parts.exchange;
    const runMs = channels.longestRunMs(pool, route.name);
    return performance.now() + LATE_CALL_RUN_FACTOR * runMs < endsAtMs;
  }

  #createRequest(
    received: ReceivedRequest,
    { route, pool, callerTimeoutMs, parent, key, access }: {
      route: FleetRoute;
      pool: string;
      callerTimeoutMs: number;
      parent: CallParent | undefined;
      key: string | undefined;
      access: RequestAccess;
    },
  ): RoutedRequest {
    const { message, body, arrivedAtMs, inputDelayMs } = received;
    parent?.served.calledRouteNames.push(route.name);
    this.#parts.observer.recordReceived(route.name, parent !== undefined);
    const isCall = key === undefined && this.#isCall(route, parent);
    // A downstream call inherits the latency goal of the request that makes it.
    // Queues are ordered by goal, so requests that have been running longest
    // are completed first.
    const inheritedGoalAtMs = isCall ? parent?.served.goalAtMs : undefined;
    const expiresAtMs = arrivedAtMs +
      Math.min(callerTimeoutMs, route.timeoutMs);
    return {
      requestId: this.#requestId(received),
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: this.#headers(message.rawHeaders, access.tenantName),
      body,
      route,
      pool,
      arrivedAtMs,
      inputDelayMs,
      expiresAtMs,
      goalAtMs: inheritedGoalAtMs === undefined
        ? arrivedAtMs + route.latencyGoalMs
        : this.#parts.admission.isCoordinated(pool)
        ? callGoalAtMs(inheritedGoalAtMs, { arrivedAtMs, expiresAtMs })
        : inheritedGoalAtMs,
      isCall,
      tenantName: access.tenantName,
      priority: access.priority,
      key: route.isPublic ? undefined : key,
    };
  }

  /** Headers that are forwarded, with the name of the tenant. */
  #headers(
    rawHeaders: readonly string[],
    tenantName: string | undefined,
  ): string[] {
    const { config, names } = this.#parts;
    if (config.routes?.tenants === undefined) {
      return copyEndToEndHeaders(rawHeaders, this.#droppedHeaders);
    }
    const headers = copyEndToEndHeaders(rawHeaders, this.#droppedForTenants);
    if (tenantName !== undefined) {
      headers.push(names.tenant, tenantName);
    }
    return headers;
  }

  /**
   * Returns whether a request is treated as a downstream call for admission: one
   * of this parent, or one of a route that is known to be called, here or by
   * others, although its parent was not found. To refuse a call would lose the
   * work of its parent.
   */
  #isCall(route: FleetRoute, parent: CallParent | undefined): boolean {
    const { graph, observer } = this.#parts;
    return graph.isCalled(route.name) || observer.isCalled(route.name) ||
      this.#isCallOf(parent, route);
  }

  #refuse(
    received: ReceivedRequest,
    kind: ErrorKind,
    answerSender: AnswerSender,
    cause?: RefusalCause,
  ): () => void {
    const { exchange, admission, config } = this.#parts;
    const { url } = received.message;
    exchange.decisions.record("refused", this.#requestId(received), {
      kind,
      path: url,
      route: cause?.request.route.name,
      pool: cause?.refusingPool,
      admittedClasses: cause && admission.level(cause.refusingPool),
      heldBytes: this.#parts.heldBytes(),
      configVersion: config.version,
    });
    if (cause !== undefined) {
      exchange.onEnd(cause.request, kind);
    }
    answerSender.fail(kind, cause && this.#coordinatedRetryAfterMs(cause));
    return () => {};
  }

  /** Time until the retry of a request that a coordinated pool has refused. */
  #coordinatedRetryAfterMs(
    { request, refusingPool, remainingMs }: RefusalCause,
  ): number | undefined {
    const { admission, random } = this.#parts;
    const goalMs = request.route.latencyGoalMs;
    return admission.isCoordinated(refusingPool)
      ? spreadRetryAfterMs({ goalMs, remainingMs }, random)
      : undefined;
  }
}
