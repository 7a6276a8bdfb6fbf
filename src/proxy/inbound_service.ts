/** Admits requests to the local upstream and forwards them. */
import { ChurnMap } from "../core/churn_map.ts";
import type { StartQueue } from "../core/start_queue.ts";
import type {
  AdmissionPolicy,
  FinishedRequest,
} from "../decisions/admission/admission_policy.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type {
  RequestObserver,
  RequestRecord,
} from "../telemetry/request_observer.ts";
import { rankOf } from "./request_context.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  ForwardRequest,
  ServingState,
} from "./answer_receiver.ts";
import type { RunningRequest, RunningRequests } from "./running_requests.ts";
import { InboundExchange, type InboundHost } from "./inbound_exchange.ts";
import type { KeyedGate } from "./keyed_gate.ts";
import type { UpstreamClient } from "./upstream_client.ts";

/** Options of {@link InboundService}. */
export type InboundServiceOptions = {
  /** Id of this instance. */
  instanceId: string;
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
  /**
   * Records finished requests, except keyed ones that the gate answers without
   * running them.
   */
  observer: RequestObserver;
  /** Starts waiting requests once their cancels have been read. */
  startQueue: StartQueue;
  /** Checks keyed requests before they are admitted and before they run. */
  keyedGate: KeyedGate;
  /** Weight of a tenant under overload. */
  tenantWeight: (tenant: string) => number;
};

/** Upstream that requests are forwarded to, with its admission policy. */
export type AttachedUpstream = {
  readonly pool: string;
  readonly client: UpstreamClient;
  readonly admission: AdmissionPolicy;
};

// Queued requests are re-evaluated at this interval even if no slot becomes
// free.
const QUEUE_POLL_INTERVAL_MS = 10;

/** Source of an answer that has already ended. */
const ENDED_SOURCE: AnswerSource = {
  cancel() {},
  resume() {},
};

/** Result in the request record for each result of an admitted request. */
const RECORD_RESULTS = {
  succeeded: "complete",
  cancelled: "cancelled",
  overloaded: "upstream_failed",
  failed: "upstream_failed",
} as const satisfies Record<FinishedRequest["result"], RequestRecord["result"]>;

const NO_LOAD = {
  levelRank: 0,
  inFlightCount: 0,
  limitCount: 0,
  queuedCount: 0,
};

/** Admits requests to the local upstream, queues them or refuses them. */
export class InboundService implements InboundHost {
  readonly #runningRequests: RunningRequests;
  readonly #options: InboundServiceOptions;
  readonly #exchanges = new ChurnMap<number, InboundExchange>();
  #upstream: AttachedUpstream | undefined;
  #pollTimer: NodeJS.Timeout | undefined;
  #isStartDue = false;
  #nextTicket = 1;
  #draining = false;

  /**
   * @param runningRequests Registry of running requests.
   * @param options Identity, clock, observer, queue, gate for keyed requests and
   *   weights.
   */
  constructor(
    runningRequests: RunningRequests,
    options: InboundServiceOptions,
  ) {
    this.#runningRequests = runningRequests;
    this.#options = options;
  }

  /**
   * Sets the upstream that requests are forwarded to.
   *
   * @param upstream Client, admission policy and pool of the upstream.
   */
  attach(upstream: AttachedUpstream): void {
    this.#upstream = upstream;
  }

  /** Refuses new requests; running and queued requests continue. */
  drain(): void {
    this.#draining = true;
  }

  /** Accepts new requests again. */
  undrain(): void {
    this.#draining = false;
  }

  /**
   * Serves one request.
   *
   * @param request Request with its context.
   * @param receiver Stage that receives the answer.
   * @returns Handle to cancel the answer or resume its body.
   */
  serve(request: ForwardRequest, receiver: AnswerReceiver): AnswerSource {
    const upstream = this.#upstream;
    const refusal = this.#refusalKind(request);
    if (upstream === undefined || refusal !== undefined) {
      const exchange = this.#createExchange(request, receiver);
      exchange.refuse(refusal ?? "no_upstream");
      return exchange;
    }
    if (request.context.idempotencyKey !== undefined) {
      return this.#serveKeyed(request, receiver, { upstream });
    }
    const exchange = this.#createExchange(request, receiver);
    this.#offer(exchange, upstream);
    return exchange;
  }

  /** @inheritdoc */
  forward(exchange: InboundExchange): AnswerSource {
    const { keyedExchange, request } = exchange;
    if (keyedExchange !== undefined) {
      const refusal = this.#options.keyedGate.recheck(request);
      if (refusal !== undefined) {
        exchange.onFailure({ kind: refusal, outcome: "not-run" });
        return ENDED_SOURCE;
      }
      keyedExchange.start();
    }
    exchange.runningRequest = this.#runningRequests.add(request.context);
    return (this.#upstream as AttachedUpstream).client.send(request, exchange);
  }

  /** @inheritdoc */
  release(exchange: InboundExchange, finished: FinishedRequest): void {
    this.#exchanges.delete(exchange.ticket);
    if (exchange.runningRequest !== undefined) {
      this.#runningRequests.remove(exchange.runningRequest);
    }
    this.#upstream?.admission.finish(finished, this.nowMs());
    this.#record(exchange, RECORD_RESULTS[finished.result]);
    this.#startWaiting();
  }

  /** @inheritdoc */
  recordRefusal(exchange: InboundExchange, kind: ErrorKind): void {
    this.#record(exchange, kind);
  }

  /** @inheritdoc */
  leaveQueue(exchange: InboundExchange): void {
    this.#exchanges.delete(exchange.ticket);
    this.#upstream?.admission.cancel(exchange.ticket);
  }

  /** @inheritdoc */
  servingState(runningRequest?: RunningRequest): ServingState {
    return {
      instanceId: this.#options.instanceId,
      load: this.#upstream?.admission.load() ?? NO_LOAD,
      draining: this.#draining,
      exhausted: runningRequest?.downstreamFailed === true,
      calledFurther: runningRequest?.calledFurther === true,
    };
  }

  /** @inheritdoc */
  nowMs(): number {
    return this.#options.nowMs();
  }

  /** Kind of the refusal of a request that does not run; otherwise undefined. */
  #refusalKind({ context }: ForwardRequest): ErrorKind | undefined {
    if (this.#draining) {
      return "draining";
    }
    if (this.#upstream?.pool !== context.pool) {
      return "no_upstream";
    }
    // The request may have waited on the way to this daemon.
    return this.nowMs() >= context.deadlineMs
      ? "deadline_unmeetable"
      : undefined;
  }

  #serveKeyed(
    request: ForwardRequest,
    receiver: AnswerReceiver,
    { upstream }: { upstream: AttachedUpstream },
  ): AnswerSource {
    const keyedExchange = this.#options.keyedGate.reserve(request, receiver, {
      serving: this.servingState(),
    });
    if (keyedExchange === undefined) {
      return ENDED_SOURCE;
    }
    const exchange = this.#createExchange(request, keyedExchange);
    exchange.keyedExchange = keyedExchange;
    keyedExchange.connect(exchange);
    this.#offer(exchange, upstream);
    return keyedExchange;
  }

  #createExchange(
    request: ForwardRequest,
    receiver: AnswerReceiver,
  ): InboundExchange {
    const ticket = this.#nextTicket++;
    return new InboundExchange(request, receiver, { host: this, ticket });
  }

  #offer(exchange: InboundExchange, upstream: AttachedUpstream): void {
    const { context } = exchange.request;
    const decision = upstream.admission.offer({
      ticket: exchange.ticket,
      rank: rankOf(context),
      tenant: context.tenant,
      tenantWeight: this.#options.tenantWeight(context.tenant),
      depthCount: context.depthCount,
      deadlineMs: context.deadlineMs,
      route: context.routeName,
    }, this.nowMs());
    if (decision.kind === "refuse") {
      exchange.refuse(decision.error);
      return;
    }
    this.#exchanges.set(exchange.ticket, exchange);
    exchange.startDeadlineTimer();
    if (decision.kind === "run") {
      exchange.admit();
      return;
    }
    exchange.markQueued();
    this.#startWaiting();
    this.#schedulePoll();
  }

  /** Polls the queue, once cancels that have arrived are known. */
  #startWaiting(): void {
    if (this.#isStartDue) {
      return;
    }
    this.#isStartDue = true;
    this.#options.startQueue.add(() => {
      this.#isStartDue = false;
      this.#poll();
      return () => {};
    });
  }

  #poll(): void {
    const decisions = this.#upstream?.admission.poll(this.nowMs()) ?? [];
    for (const { ticket, decision } of decisions) {
      const exchange = this.#exchanges.get(ticket);
      if (exchange === undefined) {
        continue;
      }
      if (decision.kind === "run") {
        exchange.admit();
        continue;
      }
      this.#exchanges.delete(ticket);
      exchange.refuse(decision.error);
    }
  }

  #schedulePoll(): void {
    if (this.#pollTimer !== undefined) {
      return;
    }
    this.#pollTimer = setTimeout(() => {
      this.#pollTimer = undefined;
      this.#startWaiting();
      if ((this.#upstream?.admission.load().queuedCount ?? 0) > 0) {
        this.#schedulePoll();
      }
    }, QUEUE_POLL_INTERVAL_MS);
  }

  #record(exchange: InboundExchange, result: RequestRecord["result"]): void {
    const { context } = exchange.request;
    const nowMs = this.nowMs();
    const isForwarded = exchange.startedMs > 0;
    this.#options.observer.record({
      side: "inbound",
      tenant: context.tenant,
      importanceClass: context.importanceClass,
      pool: context.pool,
      result,
      latencyMs: nowMs - exchange.arrivedMs,
      queueMs: (isForwarded ? exchange.startedMs : nowMs) - exchange.arrivedMs,
      attemptsCount: isForwarded ? 1 : 0,
    });
  }
}
