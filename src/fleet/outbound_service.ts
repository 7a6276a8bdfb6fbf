/** Routes, admits and forwards requests of callers and downstream calls. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph, CallObserver } from "../decisions/call_graph.ts";
import { LargeAnswers } from "../decisions/large_answers.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import {
  type AnswerSender,
  type ExchangeParts,
  ForwardedExchange,
  type RoutedRequest,
} from "./forwarded_exchange.ts";
import type { OutboundHandler, ReceivedRequest } from "./outbound_listener.ts";
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
const OVERLOAD_KINDS: readonly ErrorKind[] = [
  "shed",
  "queue_full",
  "upstream_refused",
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

/** Handles the requests of the outbound listener. */
export class OutboundService implements OutboundHandler {
  readonly #parts: OutboundServiceParts;
  readonly #droppedHeaders: readonly string[];
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
    const { deadlineMs, targetUpstream, callerPool } = parts.names;
    this.#droppedHeaders = [deadlineMs, targetUpstream, callerPool];
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
    const pool = routes.choosePool(route);
    const callerTimeoutMs = this.#callerTimeoutMs(received);
    const parent = this.#findParent(received, callerTimeoutMs);
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
    });
    if (!request.isCall) {
      const refusingPool = this.#parts.admission.findRefusingPool(route);
      if (refusingPool !== undefined) {
        return this.#refuse(received, "shed", answerSender, {
          request,
          refusingPool,
        });
      }
    }
    return this.#forward(request, answerSender);
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
  #forward(request: RoutedRequest, answerSender: AnswerSender): () => void {
    const { name } = request.route;
    this.#largeAnswers.start(name);
    const exchange = new ForwardedExchange(
      request,
      {
        answer: (answer) => {
          this.#largeAnswers.end(name, answer.body?.length ?? 0);
          answerSender.answer(answer);
        },
        fail: (kind) => {
          this.#largeAnswers.end(name);
          answerSender.fail(kind);
        },
      },
      this.#parts.exchange,
    );
    exchange.start();
    return () => {
      this.#largeAnswers.end(name);
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

  /** Returns whether a request that is sent now will probably run in time. */
  #canRunUntil(endsAtMs: number, route: FleetRoute, pool: string): boolean {
    const { channels } = this.#parts.exchange;
    const runMs = channels.longestRunMs(pool, route.name);
    return performance.now() + LATE_CALL_RUN_FACTOR * runMs < endsAtMs;
  }

  #createRequest(
    received: ReceivedRequest,
    { route, pool, callerTimeoutMs, parent }: {
      route: FleetRoute;
      pool: string;
      callerTimeoutMs: number;
      parent: CallParent | undefined;
    },
  ): RoutedRequest {
    const { message, body, arrivedAtMs } = received;
    parent?.served.calledRouteNames.push(route.name);
    this.#parts.observer.recordReceived(route.name, parent !== undefined);
    const isCall = this.#isCall(route, parent);
    // A downstream call inherits the latency goal of the request that makes it.
    // Queues are ordered by goal, so requests that have been running longest
    // are completed first.
    const inheritedGoalAtMs = isCall ? parent?.served.goalAtMs : undefined;
    return {
      requestId: this.#requestId(received),
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: copyEndToEndHeaders(message.rawHeaders, this.#droppedHeaders),
      body,
      route,
      pool,
      arrivedAtMs,
      expiresAtMs: arrivedAtMs + Math.min(callerTimeoutMs, route.timeoutMs),
      goalAtMs: inheritedGoalAtMs ?? arrivedAtMs + route.latencyGoalMs,
      isCall,
    };
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
    cause?: { request: RoutedRequest; refusingPool: string },
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
    answerSender.fail(kind);
    return () => {};
  }
}
