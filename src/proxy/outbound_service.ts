/** Sends requests to upstreams of any pool. */
import type { ConfigSource } from "../decisions/config_source.ts";
import { parseIdempotencyKey } from "../decisions/keys/idempotency_key.ts";
import { chooseOwner, type OwnerHistory } from "../decisions/keys/key_owner.ts";
import type { KeyClock } from "../decisions/keys/keyed_admission.ts";
import type { RetryPolicy } from "../decisions/retries/retry_policy.ts";
import type {
  Endpoint,
  UpstreamDirectory,
} from "../decisions/selection/upstream_directory.ts";
import type {
  AttemptResult,
  Selection,
  UpstreamSelector,
} from "../decisions/selection/upstream_selector.ts";
import type { Pool } from "../schemas/tables_schema.ts";
import type {
  RequestObserver,
  RequestRecord,
} from "../telemetry/request_observer.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  Failure,
  ForwardRequest,
} from "./answer_receiver.ts";
import type { AttemptTransport } from "./attempt_transport.ts";
import { rankOf, type RequestContext } from "./request_context.ts";
import {
  isOverloadRefusal,
  OutboundExchange,
  type OutboundHost,
} from "./outbound_exchange.ts";
import type { RunningRequest, RunningRequests } from "./running_requests.ts";

/** Components that {@link OutboundService} uses. */
export type OutboundServiceParts = {
  config: ConfigSource;
  directory: UpstreamDirectory;
  selector: UpstreamSelector;
  retries: RetryPolicy;
  transport: AttemptTransport;
  runningRequests: RunningRequests;
  observer: RequestObserver;
  owners: OwnerHistory;
  keyClock: KeyClock;
};

/** Options of {@link OutboundService}. */
export type OutboundServiceOptions = {
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

/** Subtracts earlier attempts from those left and marks a retry as repeated. */
function chargeAttempts(
  request: ForwardRequest,
  attemptsCount: number,
): ForwardRequest {
  if (attemptsCount <= 1) {
    return request;
  }
  const { context } = request;
  const attemptsLeftCount = context.attemptsLeftCount - attemptsCount + 1;
  return {
    ...request,
    context: { ...context, attemptsLeftCount, repeated: true },
  };
}

/** Chooses upstreams, sends attempts and bounds retries. */
export class OutboundService implements OutboundHost {
  readonly #parts: OutboundServiceParts;
  readonly #options: OutboundServiceOptions;
  /** Running request that each downstream call is made for. */
  readonly #parents = new WeakMap<OutboundExchange, RunningRequest>();

  /**
   * @param parts Decisions, directory and transport.
   * @param options Clock.
   */
  constructor(parts: OutboundServiceParts, options: OutboundServiceOptions) {
    this.#parts = parts;
    this.#options = options;
  }

  /**
   * Sends a request.
   *
   * @param request Request with its context.
   * @param receiver Stage that receives the answer.
   * @param options Running request that the call is made for.
   * @returns Handle to cancel the answer or resume its body.
   */
  send(
    request: ForwardRequest,
    receiver: AnswerReceiver,
    options: { parent?: RunningRequest } = {},
  ): AnswerSource {
    const exchange = new OutboundExchange(request, receiver, this);
    this.#startCall(exchange, options.parent);
    this.#recordSend(request.context);
    exchange.start();
    return exchange;
  }

  /** @inheritdoc */
  choose(exchange: OutboundExchange): Selection {
    const { context } = exchange.request;
    const rules = this.#parts.config.current()?.tables.pools
      .pools[context.pool];
    if (rules === undefined) {
      return { kind: "refuse", error: "no_upstream" };
    }
    const endpoints = this.#parts.directory.endpoints(context.pool);
    if (context.idempotencyKey !== undefined) {
      return this.#chooseOwner(context, rules, { endpoints });
    }
    return this.#parts.selector.choose(
      { name: context.pool, rules, endpoints },
      {
        rank: rankOf(context),
        depthCount: context.depthCount,
        excludedIds: exchange.excludedIds,
      },
      this.nowMs(),
    );
  }

  /** @inheritdoc */
  sendAttempt(exchange: OutboundExchange, endpoint: Endpoint): AnswerSource {
    this.#parts.selector.started(endpoint.instanceId, this.nowMs());
    const request = chargeAttempts(exchange.request, exchange.attemptsCount);
    return this.#parts.transport.send(endpoint, request, exchange);
  }

  /** @inheritdoc */
  mayRetry(exchange: OutboundExchange, failure: Failure): boolean {
    const { context, body } = exchange.request;
    const replayable = body === null || Buffer.isBuffer(body);
    // Only the owner of a key may run it, so no other endpoint can be tried.
    if (!replayable || context.idempotencyKey !== undefined) {
      return false;
    }
    const nowMs = this.nowMs();
    return this.#parts.retries.mayRetry({
      pool: context.pool,
      attemptsLeftCount: context.attemptsLeftCount - exchange.attemptsCount,
      outcome: failure.outcome,
      idempotent: context.idempotent,
      exhausted: failure.serving?.exhausted === true,
      overloaded: isOverloadRefusal(failure),
      calledFurther: failure.serving?.calledFurther,
      remainingMs: context.deadlineMs - nowMs,
    }, nowMs);
  }

  /** @inheritdoc */
  finishAttempt(result: AttemptResult): void {
    this.#parts.selector.finished(result, this.nowMs());
  }

  /** @inheritdoc */
  finish(
    exchange: OutboundExchange,
    result: RequestRecord["result"],
    failure?: Failure,
  ): void {
    this.#endCall(exchange, failure);
    const { context } = exchange.request;
    this.#parts.observer.record({
      side: "outbound",
      tenant: context.tenant,
      importanceClass: context.importanceClass,
      pool: context.pool,
      result,
      latencyMs: this.nowMs() - exchange.arrivedMs,
      queueMs: 0,
      attemptsCount: exchange.attemptsCount,
    });
  }

  /** @inheritdoc */
  nowMs(): number {
    return this.#options.nowMs();
  }

  /** Chooses the owner of the key, the only endpoint that may run it. */
  #chooseOwner(
    context: RequestContext,
    { dataCentres }: Pool,
    { endpoints }: { endpoints: readonly Endpoint[] },
  ): Selection {
    const key = parseIdempotencyKey(context.idempotencyKey as string);
    if (key === undefined) {
      return { kind: "refuse", error: "key_invalid" };
    }
    const { owners, keyClock } = this.#parts;
    const { pool } = context;
    return chooseOwner(key, { pool, dataCentres, endpoints }, {
      history: owners,
      nowEpochMs: keyClock.nowEpochMs(),
    });
  }

  #recordSend({ pool, repeated }: RequestContext): void {
    const { retries } = this.#parts;
    if (repeated) {
      retries.recordRepeated(pool, this.nowMs());
      return;
    }
    retries.recordOriginal(pool, this.nowMs());
  }

  #startCall(
    exchange: OutboundExchange,
    parent: RunningRequest | undefined,
  ): void {
    if (parent === undefined) {
      return;
    }
    this.#parents.set(exchange, parent);
    this.#parts.runningRequests.startCall(parent, this.nowMs());
  }

  #endCall(exchange: OutboundExchange, failure: Failure | undefined): void {
    const parent = this.#parents.get(exchange);
    if (parent === undefined) {
      return;
    }
    this.#parts.runningRequests.endCall(parent, this.nowMs());
    parent.downstreamFailed ||= failure !== undefined;
  }
}
