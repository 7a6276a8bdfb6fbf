/** Routes, admits and forwards requests of callers and downstream calls. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph } from "../decisions/routing/call_graph.ts";
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import { LargeAnswers } from "../decisions/memory/large_answers.ts";
import { spreadRetryAfterMs } from "../decisions/sharing/retry_after.ts";
import { bearerKey } from "../decisions/tenants/credential.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import { callGoalAtMs } from "../decisions/sharing/call_goal.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { Authenticator, RequestAccess } from "./authenticator.ts";
import type { CallMatch, CallParent, CallParents } from "./call_parents.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import { ForwardedExchange } from "./forwarded_exchange.ts";
import type { OutboundHandler, ReceivedRequest } from "./outbound_listener.ts";
import type { AnswerSender, RoutedRequest } from "./routed_request.ts";
import type { ServedRequest } from "./served_request.ts";

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
  callParents: CallParents;
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

/** Match of a request that is not a downstream call. */
const NO_MATCH: CallMatch = {};

/** Sender of a request, as far as it is known, and what it may do. */
type RequestIdentity = {
  readonly key: string | undefined;
  /** Running request that makes the request as a downstream call. */
  readonly parent: CallParent | undefined;
  readonly access: RequestAccess;
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
    const { key, parent, access } = this.#identify(received, {
      route,
      hasTenants: routes.tenants !== undefined,
      expiresAtMs: received.arrivedAtMs + callerTimeoutMs,
    });
    if (access.refusal !== undefined) {
      return this.#refuse(received, access.refusal, answerSender);
    }
    const pool = routes.choosePool(route);
    if (this.#comesTooLate(parent, route, pool)) {
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
    return this.#forward(request, answerSender, parent?.served);
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

  /** Finds out who has sent a request, and what it may do. */
  #identify(
    received: ReceivedRequest,
    { route, hasTenants, expiresAtMs }: {
      route: FleetRoute;
      hasTenants: boolean;
      expiresAtMs: number;
    },
  ): RequestIdentity {
    const { callParents, authenticator, decodeParentId } = this.#parts;
    const requestId = this.#requestId(received);
    const key = hasTenants
      ? bearerKey(received.message.headers.authorization)
      : undefined;
    // Upstreams make calls without a key.
    const match = key === undefined
      ? callParents.match({ requestId, expiresAtMs })
      : NO_MATCH;
    const parent = callParents.parentOf(match, route);
    const access = hasTenants
      ? authenticator.authenticate({
        route,
        key,
        parent: parent?.evidence === "id" ? parent.served : undefined,
        mayBeCall: callParents.mayBeUnnamedCall(match, route),
        hasCallId: decodeParentId(requestId) !== undefined,
      })
      : { priority: route.priority };
    // A call that is refused because its parent is not proven counts, too.
    if (key === undefined || access.refusal === undefined) {
      callParents.record(route.name, match);
    }
    return { key, parent, access };
  }

  /**
   * Returns whether the process is stopping and a request is not a call that will
   * probably end in time.
   */
  #comesTooLate(
    parent: CallParent | undefined,
    route: FleetRoute,
    pool: string,
  ): boolean {
    if (this.#endsAtMs === undefined) {
      return false;
    }
    const { channels } = this.#parts.exchange;
    const runMs = channels.longestRunMs(pool, route.name);
    return parent === undefined ||
      performance.now() + LATE_CALL_RUN_FACTOR * runMs >= this.#endsAtMs;
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
    const isCall = key === undefined && this.#isCall(route, parent);
    // A downstream call inherits the latency goal of the request that makes it.
    // Queues are ordered by goal, so requests that have been running longest
    // are completed first.
    const inheritedGoalAtMs = parent?.served.goalAtMs;
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
   * that has a parent, or one of a route that is known to be called, here or by
   * others, although its parent was not found. To refuse a call would lose the
   * work of its parent.
   */
  #isCall(route: FleetRoute, parent: CallParent | undefined): boolean {
    const { graph, observer } = this.#parts;
    return parent !== undefined || graph.isCalled(route.name) ||
      observer.isCalled(route.name);
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
