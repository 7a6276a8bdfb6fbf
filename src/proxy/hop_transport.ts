/** Sends attempts over HTTP to the daemons beside upstreams. */
import { Pool } from "undici";
import type { Endpoint } from "../decisions/selection/upstream_directory.ts";
import { isErrorKind } from "../errors/error_kinds.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  ForwardRequest,
} from "./answer_receiver.ts";
import type { AttemptTransport } from "./attempt_transport.ts";
import { filterHeaders } from "./header_filter.ts";
import {
  decodeHopAnswer,
  encodeHopRequest,
  HOP_ANSWER_HEADER,
  HOP_REQUEST_HEADER,
  servingStateOf,
} from "./hop_header.ts";
import type { HopTokens } from "./hop_token.ts";
import {
  type HeadInterpreter,
  HttpAnswerSource,
} from "./http_answer_source.ts";

/** Options of {@link HopTransport}. */
export type HopTransportOptions = {
  /** Id of this instance. */
  instanceId: string;
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
  /** Maximum number of connections to one endpoint. */
  connectionsMaxCount: number;
};

// An attempt that gets no connection is proved not-run and may be sent to
// another endpoint, so it must time out well before the request's deadline.
const CONNECT_TIMEOUT_MS = 1_000;

// Result for an answer without a valid header and token, and for an answer to
// another request or of another instance.
const INVALID_ANSWER = {
  failure: { kind: "peer_failed", outcome: "unknown" },
  closeConnection: true,
} as const;

/**
 * Sends attempts over HTTP/1.1 keep-alive connections, pooled per endpoint
 * address.
 */
export class HopTransport implements AttemptTransport {
  readonly #connectionPools = new Map<string, Pool>();
  readonly #tokens: HopTokens;
  readonly #options: HopTransportOptions;

  /**
   * @param tokens Tokens that authenticate requests and answers.
   * @param options Identity, clock and connection limit.
   */
  constructor(tokens: HopTokens, options: HopTransportOptions) {
    this.#tokens = tokens;
    this.#options = options;
  }

  /** @inheritdoc */
  send(
    endpoint: Endpoint,
    request: ForwardRequest,
    receiver: AnswerReceiver,
  ): AnswerSource {
    const { context } = request;
    const source = new HttpAnswerSource(receiver, {
      connectionLostKind: "peer_failed",
      unreachableKind: "no_upstream",
      interpretHead: this.#createHeadInterpreter(endpoint, context.requestId),
    });
    const headers = [...request.headers];
    headers.push(HOP_REQUEST_HEADER, this.#encodeHeader(endpoint, request));
    this.#connectionPool(endpoint).dispatch({
      path: context.path,
      method: context.method as "GET",
      headers,
      body: request.body,
      bodyTimeout: context.idleTimeoutMs,
    }, source);
    return source;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all(
      [...this.#connectionPools.values()].map((pool) => pool.destroy()),
    );
    this.#connectionPools.clear();
  }

  #connectionPool(endpoint: Endpoint): Pool {
    const origin = `http://${endpoint.hopHost}:${endpoint.hopPort}`;
    const existing = this.#connectionPools.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const pool = new Pool(origin, {
      connections: this.#options.connectionsMaxCount,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#connectionPools.set(origin, pool);
    return pool;
  }

  #encodeHeader(endpoint: Endpoint, { context }: ForwardRequest): string {
    const { instanceId } = this.#options;
    const nowMs = this.#options.nowMs();
    const token = this.#tokens.make({
      direction: "request",
      fromInstanceId: instanceId,
      toInstanceId: endpoint.instanceId,
    });
    return encodeHopRequest({
      requestId: context.requestId,
      fromInstanceId: instanceId,
      toInstanceId: endpoint.instanceId,
      toIncarnationEpochMs: endpoint.incarnationEpochMs,
      tenant: context.tenant,
      routeName: context.routeName,
      pool: context.pool,
      importanceClass: context.importanceClass,
      admissionKey: context.admissionKey,
      idempotent: context.idempotent,
      keyed: context.idempotencyKey !== undefined,
      repeated: context.repeated,
      depthCount: context.depthCount,
      attemptsLeftCount: context.attemptsLeftCount,
      remainingMs: Math.max(0, Math.round(context.deadlineMs - nowMs)),
      idleTimeoutMs: context.idleTimeoutMs,
      sentAtMs: Math.round(nowMs),
    }, token);
  }

  #createHeadInterpreter(
    endpoint: Endpoint,
    requestId: string,
  ): HeadInterpreter {
    return (status, headers, rawHeaders) => {
      const value = headers[HOP_ANSWER_HEADER];
      const decoded = typeof value === "string"
        ? decodeHopAnswer(value)
        : undefined;
      if (decoded === undefined) {
        return INVALID_ANSWER;
      }
      const { fields, token } = decoded;
      const authentic = this.#tokens.check(token, {
        direction: "answer",
        fromInstanceId: endpoint.instanceId,
        toInstanceId: this.#options.instanceId,
      });
      const matches = fields.requestId === requestId &&
        fields.instanceId === endpoint.instanceId;
      if (!authentic || !matches) {
        return INVALID_ANSWER;
      }
      const serving = servingStateOf(fields);
      if (isErrorKind(fields.kind) && fields.outcome !== "complete") {
        const { kind, outcome } = fields;
        const recordedStatus = fields.recordedStatus || undefined;
        return { failure: { kind, outcome, serving, recordedStatus } };
      }
      return {
        head: {
          status,
          headers: filterHeaders(rawHeaders, undefined),
          serving,
        },
      };
    };
  }
}
