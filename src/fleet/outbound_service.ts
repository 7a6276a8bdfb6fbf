/** Routes, admits and forwards what callers and the upstream send. */
import type { RandomSource } from "../core/random.ts";
import type { CallGraph, CallObserver } from "../decisions/call_graph.ts";
import type { EntryLevels } from "../decisions/entry_levels.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import { type EdgeHeaders, passHeaders } from "./edge_headers.ts";
import {
  type ExchangeParts,
  ForwardedExchange,
  type IncomingRequest,
  type ReplySink,
} from "./forwarded_exchange.ts";
import type { OutboundHandler, ReceivedRequest } from "./outbound_listener.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Time after which a caller comes back that met no room. */
const OVERLOAD_RETRY_MS = 900;
const OVERLOAD_RETRY_SPREAD_MS = 900;
/** Time after which a caller comes back that met a passing fault. */
const FAULT_RETRY_MS = 250;
const OVERLOAD_KINDS: readonly ErrorKind[] = [
  "shed",
  "queue_full",
  "upstream_refused",
];

/** Parts of {@link OutboundService}. */
export type OutboundServiceParts = {
  names: EdgeHeaders;
  config: ConfigFollower;
  gate: UpstreamGate;
  observer: CallObserver;
  graph: CallGraph;
  levels: EntryLevels;
  random: RandomSource;
  exchange: ExchangeParts;
};

/** Handles the requests of the outbound listener. */
export class OutboundService implements OutboundHandler {
  readonly #parts: OutboundServiceParts;
  readonly #dropped: readonly string[];

  /**
   * @param parts Decisions and shared parts.
   */
  constructor(parts: OutboundServiceParts) {
    this.#parts = parts;
    const { deadlineMs, targetUpstream, callerPool } = parts.names;
    this.#dropped = [deadlineMs, targetUpstream, callerPool];
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
    const request = this.#incoming(received, route, routes.choosePool(route));
    const refusingPool = request.isCall
      ? undefined
      : this.#refusingPool(request);
    if (refusingPool !== undefined) {
      return this.#refuse(received, "shed", reply, { request, refusingPool });
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

  #incoming(
    { message, body, arrivedMs }: ReceivedRequest,
    route: FleetRoute,
    pool: string,
  ): IncomingRequest {
    const { names, gate, observer, graph } = this.#parts;
    const statedMs = Number(message.headers[names.deadlineMs] ?? Infinity);
    const callerMs = Number.isFinite(statedMs) ? statedMs : Infinity;
    const parent = gate.findParent(arrivedMs + callerMs);
    if (parent !== undefined) {
      observer.recordCall(parent.request.routeName, route.name);
    }
    return {
      requestId: String(message.headers[names.requestId] ?? ""),
      method: message.method ?? "GET",
      path: message.url ?? "/",
      headers: passHeaders(message.rawHeaders, this.#dropped),
      body,
      route,
      pool,
      arrivedMs,
      expiresAtMs: arrivedMs + Math.min(callerMs, route.timeoutMs),
      isCall: parent !== undefined || graph.isCalled(route.name),
    };
  }

  #refusingPool({ route }: IncomingRequest): string | undefined {
    const { graph, levels, random, config } = this.#parts;
    const pools = new Set<string>();
    for (const routeName of graph.runsByRoute(route.name).keys()) {
      const called = config.routes?.route(routeName) ?? route;
      for (const { pool } of called.targets) {
        pools.add(pool);
      }
    }
    return levels.refusingPool({
      priority: route.priority,
      key: random.nextFloat(),
      pools,
    });
  }

  #refuse(
    received: ReceivedRequest,
    kind: ErrorKind,
    reply: ReplySink,
    cause?: { request: IncomingRequest; refusingPool: string },
  ): () => void {
    const { names, exchange, levels, config } = this.#parts;
    const { headers, url } = received.message;
    exchange.decisions.record("refused", String(headers[names.requestId]), {
      kind,
      path: url,
      route: cause?.request.route.name,
      pool: cause?.refusingPool,
      level: cause && levels.level(cause.refusingPool),
      configVersion: config.version,
    });
    if (cause !== undefined) {
      exchange.onEnd(cause.request, kind);
    }
    reply.fail(kind);
    return () => {};
  }
}
