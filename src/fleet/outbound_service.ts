/** Routes, admits and forwards the requests of callers and of the upstream. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph, CallObserver } from "../decisions/call_graph.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import type { EntryAdmission } from "./entry_admission.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import {
  type ExchangeParts,
  ForwardedExchange,
  type IncomingRequest,
  type ReplySink,
} from "./forwarded_exchange.ts";
import type { OutboundHandler, ReceivedRequest } from "./outbound_listener.ts";
import type { ServedRequest } from "./served_request.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Minimum time until a caller should repeat a request refused for overload. */
const OVERLOAD_RETRY_MS = 900;
/** Upper bound of the random time that is added. */
const OVERLOAD_RETRY_SPREAD_MS = 900;
/** Time until a caller should repeat a request after a transient fault. */
const FAULT_RETRY_MS = 250;
const OVERLOAD_KINDS: readonly ErrorKind[] = [
  "shed",
  "queue_full",
  "upstream_refused",
];

/** Parts of {@link OutboundService}. */
export type OutboundServiceParts = {
  names: HeaderNames;
  config: ConfigFollower;
  gate: UpstreamGate;
  graph: CallGraph;
  observer: CallObserver;
  admission: EntryAdmission;
  random: RandomSource;
  exchange: ExchangeParts;
};

/** Handles the requests of the outbound listener. */
export class OutboundService implements OutboundHandler {
  readonly #parts: OutboundServiceParts;
  readonly #dropped: readonly string[];
  #isStopped = false;

  /**
   * @param parts Parts of the daemon.
   */
  constructor(parts: OutboundServiceParts) {
    this.#parts = parts;
    const { deadlineMs, targetUpstream, callerPool } = parts.names;
    this.#dropped = [deadlineMs, targetUpstream, callerPool];
  }

  /** Refuses new requests from now on, but not the calls of running ones. */
  stop(): void {
    this.#isStopped = true;
  }

  /** @inheritdoc */
  handle(received: ReceivedRequest, reply: ReplySink): () => void {
    const { message } = received;
    const routes = this.#parts.config.routes;
    if (routes === undefined) {
      return this.#refuse(received, "not_ready", reply);
    }
    const path = message.url ?? "/";
    const route = routes.match(message.headers.host ?? "", path);
    if (route === undefined) {
      return this.#refuse(received, "no_route", reply);
    }
    const request = this.#createRequest(
      received,
      route,
      routes.choosePool(route),
    );
    if (!request.isCall) {
      if (this.#isStopped) {
        return this.#refuse(received, "draining", reply);
      }
      const refusingPool = this.#parts.admission.refusingPool(route);
      if (refusingPool !== undefined) {
        return this.#refuse(received, "shed", reply, { request, refusingPool });
      }
    }
    const exchange = new ForwardedExchange(
      request,
      reply,
      this.#parts.exchange,
    );
    exchange.start();
    return () => exchange.cancel();
  }

  /** @inheritdoc */
  retryAfterMs(kind: ErrorKind): number | undefined {
    if (errorAnswer(kind).retry !== "always") {
      return undefined;
    }
    return OVERLOAD_KINDS.includes(kind)
      ? OVERLOAD_RETRY_MS +
        OVERLOAD_RETRY_SPREAD_MS * this.#parts.random.nextFloat()
      : FAULT_RETRY_MS;
  }

  #createRequest(
    { message, body, arrivedMs }: ReceivedRequest,
    route: FleetRoute,
    pool: string,
  ): IncomingRequest {
    const { names, gate } = this.#parts;
    const statedMs = Number(message.headers[names.deadlineMs] ?? Infinity);
    const callerMs = Number.isFinite(statedMs) ? statedMs : Infinity;
    const parent = gate.findParent(arrivedMs + callerMs);
    parent?.calledRouteNames.push(route.name);
    const isCall = this.#isCall(route, parent);
    // A call inherits the goal of its request: calls of the longest-waiting
    // requests come first, so that started work is finished.
    const inheritedMs = isCall ? parent?.goalAtMs : undefined;
    return {
      requestId: String(message.headers[names.requestId] ?? ""),
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: copyEndToEndHeaders(message.rawHeaders, this.#dropped),
      body,
      route,
      pool,
      arrivedMs,
      expiresAtMs: arrivedMs + Math.min(callerMs, route.timeoutMs),
      goalAtMs: inheritedMs ?? arrivedMs + route.latencyGoalMs,
      isCall,
    };
  }

  /**
   * Tells whether a request is a call of a running one. A caller's request may
   * have the same deadline as a running one by chance. Once the calls of that
   * one's route are known, only requests of called routes are calls.
   */
  #isCall(route: FleetRoute, parent: ServedRequest | undefined): boolean {
    const { graph, observer } = this.#parts;
    return graph.isCalled(route.name) ||
      (parent !== undefined &&
        !observer.hasEnoughRuns(parent.request.routeName));
  }

  #refuse(
    received: ReceivedRequest,
    kind: ErrorKind,
    reply: ReplySink,
    cause?: { request: IncomingRequest; refusingPool: string },
  ): () => void {
    const { names, exchange, admission, config } = this.#parts;
    const { headers, url } = received.message;
    exchange.decisions.record("refused", String(headers[names.requestId]), {
      kind,
      path: url,
      route: cause?.request.route.name,
      pool: cause?.refusingPool,
      admittedClasses: cause && admission.level(cause.refusingPool),
      configVersion: config.version,
    });
    if (cause !== undefined) {
      exchange.onEnd(cause.request, kind);
    }
    reply.fail(kind);
    return () => {};
  }
}
