/** Handles requests of external callers and calls of the local upstream. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { v4 as randomRequestId } from "uuid";
import { hasLeft } from "../core/has_left.ts";
import type { Cancel, StartQueue } from "../core/start_queue.ts";
import type { ActiveConfig, ConfigSource } from "../decisions/config_source.ts";
import { parseIdempotencyKey } from "../decisions/keys/idempotency_key.ts";
import { homeDataCentre } from "../decisions/keys/key_owner.ts";
import { admissionKey } from "../decisions/admission/importance.ts";
import type { RouteRules } from "../decisions/routing/route_matcher.ts";
import { RelayError } from "../errors/relay_error.ts";
import type { Failure, ForwardRequest } from "./answer_receiver.ts";
import type { BodyReader } from "./body_reader.ts";
import { filterHeaders } from "./header_filter.ts";
import type { OutboundService } from "./outbound_service.ts";
import { PublicAnswerDecorator } from "./public_answer_decorator.ts";
import type { RequestContext } from "./request_context.ts";
import { ResponseReceiver } from "./response_receiver.ts";
import type { RunningRequest, RunningRequests } from "./running_requests.ts";
import { DEFAULT_TENANT, TenantCheck } from "./tenant_check.ts";

/** Components that {@link EntryHandler} uses. */
export type EntryHandlerParts = {
  config: ConfigSource;
  outbound: OutboundService;
  bodies: BodyReader;
  startQueue: StartQueue;
  /** Registry of running requests; set for calls of the local upstream only. */
  runningRequests?: RunningRequests;
};

/** Options of {@link EntryHandler}. */
export type EntryHandlerOptions = {
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

type ForwardOptions = {
  context: RequestContext;
  rules: RouteRules;
  parent: RunningRequest | undefined;
};

/** Reads the caller's limit on the time until the answer's head, in ms. */
function readTimeLimitMs(request: IncomingMessage): number | undefined {
  const text = request.headers["goldcrest-deadline-ms"];
  if (text === undefined) {
    return undefined;
  }
  const valueMs = Number(text);
  if (!Number.isFinite(valueMs) || valueMs < 0) {
    throw new RelayError("bad_request", "Goldcrest-Deadline-Ms is not a time");
  }
  return valueMs;
}

/** Reads the idempotency key, unless the route ignores keys. */
function readIdempotencyKey(
  request: IncomingMessage,
  { route, pool }: RouteRules,
): string | undefined {
  const value = request.headers["idempotency-key"];
  if (
    route.keys === "none" || (value === undefined && route.keys !== "required")
  ) {
    return undefined;
  }
  const key = typeof value === "string"
    ? parseIdempotencyKey(value)
    : undefined;
  if (key === undefined) {
    throw new RelayError("key_invalid", "The idempotency key is malformed");
  }
  if (homeDataCentre(key, pool.dataCentres) === undefined) {
    throw new RelayError(
      "key_invalid",
      "The pool does not list the key's home data centre",
    );
  }
  return key.text;
}

/**
 * Accepts requests and sends them to an upstream. With a registry of running
 * requests it handles calls of the local upstream: a call that carries the id
 * of a running request inherits its tenant, class, admission key and retry mark
 * (`repeated`), is one hop deeper, and is bounded by its deadline and its
 * attempts left.
 */
export class EntryHandler {
  readonly #parts: EntryHandlerParts;
  readonly #options: EntryHandlerOptions;
  readonly #tenants = new TenantCheck();

  /**
   * @param parts Configuration, outbound service, reader of bodies, queue that
   *   starts the requests, and running requests.
   * @param options Clock.
   */
  constructor(parts: EntryHandlerParts, options: EntryHandlerOptions) {
    this.#parts = parts;
    this.#options = options;
  }

  /**
   * Handles one request.
   *
   * @param request Request of a caller.
   * @param response Response to the request.
   */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const requestId = randomRequestId();
    let tenant = DEFAULT_TENANT;
    try {
      const parent = this.#findParent(request);
      if (parent !== undefined) {
        parent.calledFurther = true;
      }
      const config = this.#requireConfig();
      tenant = parent?.context.tenant ?? this.#identifyTenant(request, config);
      const rules = this.#requireRoute(request, config, tenant);
      const context = this.#createContext(request, rules, {
        requestId,
        tenant,
        parent,
      });
      void this.#forward(request, response, { context, rules, parent });
    } catch (error) {
      this.#answerError(response, error, { requestId, tenant });
    }
  }

  async #forward(
    request: IncomingMessage,
    response: ServerResponse,
    options: ForwardOptions,
  ): Promise<void> {
    const { context, rules } = options;
    try {
      const body = await this.#parts.bodies.read(request, response, {
        bodyMaxBytes: rules.route.bodyMaxBytes,
        deadlineMs: context.deadlineMs,
      });
      this.#parts.startQueue.add(
        () => this.#send(request, response, { ...options, body }),
        { isGone: () => hasLeft(request.socket) },
      );
    } catch (error) {
      this.#answerError(response, error, context);
    }
  }

  /** Sends a request to an upstream. Its response cancels it when it closes. */
  #send(
    request: IncomingMessage,
    response: ServerResponse,
    { context, parent, body }: ForwardOptions & Pick<ForwardRequest, "body">,
  ): Cancel {
    const { requestId, tenant } = context;
    try {
      const receiver = new ResponseReceiver(
        response,
        new PublicAnswerDecorator(requestId, tenant),
      );
      const headers = filterHeaders(
        request.rawHeaders,
        request.headers.connection,
      );
      const source = this.#parts.outbound.send(
        { context, headers, body },
        receiver,
        { parent },
      );
      receiver.connect(source);
    } catch (error) {
      this.#answerError(response, error, context);
    }
    return () => {};
  }

  #findParent(request: IncomingMessage): RunningRequest | undefined {
    const requestId = request.headers["goldcrest-request-id"];
    return typeof requestId === "string"
      ? this.#parts.runningRequests?.find(requestId)
      : undefined;
  }

  #requireConfig(): ActiveConfig {
    const config = this.#parts.config.current();
    if (config === undefined) {
      throw new RelayError("not_ready", "No configuration is in force");
    }
    return config;
  }

  #identifyTenant(request: IncomingMessage, config: ActiveConfig): string {
    // Calls that the upstream makes outside any request get the default tenant.
    if (this.#parts.runningRequests !== undefined) {
      return DEFAULT_TENANT;
    }
    return this.#tenants.identify(
      request.headers,
      config.tables.routes.tenants,
    );
  }

  #requireRoute(
    request: IncomingMessage,
    config: ActiveConfig,
    tenant: string,
  ): RouteRules {
    const { method = "", url = "" } = request;
    const rules = config.matcher.match(method, url, tenant);
    if (rules === undefined) {
      throw new RelayError("no_route", `No route matches ${method} ${url}`);
    }
    return rules;
  }

  #createContext(
    request: IncomingMessage,
    rules: RouteRules,
    options: {
      requestId: string;
      tenant: string;
      parent: RunningRequest | undefined;
    },
  ): RequestContext {
    const { requestId, tenant, parent } = options;
    const idempotencyKey = readIdempotencyKey(request, rules);
    const nowMs = this.#options.nowMs();
    const timeoutMs = Math.min(
      rules.timeoutMs,
      readTimeLimitMs(request) ?? rules.timeoutMs,
    );
    const deadlineMs = Math.min(
      nowMs + timeoutMs,
      parent?.context.deadlineMs ?? Infinity,
    );
    return {
      requestId,
      tenant,
      method: request.method as string,
      path: request.url as string,
      routeName: rules.name,
      pool: rules.route.pool,
      importanceClass: parent?.context.importanceClass ??
        rules.importanceClass,
      admissionKey: parent?.context.admissionKey ??
        admissionKey(idempotencyKey ?? requestId),
      idempotent: rules.route.idempotent,
      depthCount: (parent?.context.depthCount ?? 0) + 1,
      repeated: parent?.context.repeated ?? false,
      attemptsLeftCount: Math.min(
        rules.route.attemptsMax,
        parent?.context.attemptsLeftCount ?? rules.route.attemptsMax,
      ),
      deadlineMs,
      idleTimeoutMs: rules.route.idleTimeoutMs,
      idempotencyKey,
    };
  }

  #answerError(
    response: ServerResponse,
    error: unknown,
    identity: { requestId: string; tenant: string },
  ): void {
    const failure: Failure = error instanceof RelayError
      ? { kind: error.kind, outcome: error.outcome }
      // An unexpected error may occur after the request was sent.
      : { kind: "internal", outcome: "unknown" };
    const decorator = new PublicAnswerDecorator(
      identity.requestId,
      identity.tenant,
    );
    new ResponseReceiver(response, decorator).onFailure(failure);
  }
}
