/** Forwards admitted requests to the local upstream. */
import { Pool } from "undici";
import type { Announcement } from "../schemas/settings_schema.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  ForwardRequest,
} from "./answer_receiver.ts";
import { filterHeaders } from "./header_filter.ts";
import {
  type HeadInterpreter,
  HttpAnswerSource,
} from "./http_answer_source.ts";

/** Sends requests to an upstream. */
export interface UpstreamClient {
  /** Sends a request and passes the answer to the receiver. */
  send(request: ForwardRequest, receiver: AnswerReceiver): AnswerSource;
  /** Refuses further requests and closes connections as they become idle. */
  close(): Promise<void>;
}

/** Options of {@link HttpUpstreamClient}. */
export type HttpUpstreamClientOptions = {
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
  /** Returns whether refusals by a pool's upstreams prove outcome `not-run`. */
  refusalsNotRun: (pool: string) => boolean;
};

const REFUSAL_STATUS = 503;

/** Client of an upstream over HTTP/1.1 keep-alive connections. */
export class HttpUpstreamClient implements UpstreamClient {
  readonly #connections: Pool;
  readonly #options: HttpUpstreamClientOptions;
  readonly #poolName: string;

  /**
   * @param upstream Address, pool and connection limit of the upstream.
   * @param options Clock, and whether refusals prove outcome `not-run`.
   */
  constructor(upstream: Announcement, options: HttpUpstreamClientOptions) {
    this.#options = options;
    this.#poolName = upstream.pool;
    this.#connections = new Pool(`http://${upstream.host}:${upstream.port}`, {
      connections: upstream.connectionsMaxCount,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** @inheritdoc */
  send(request: ForwardRequest, receiver: AnswerReceiver): AnswerSource {
    const { context } = request;
    const source = new HttpAnswerSource(receiver, {
      connectionLostKind: "upstream_failed",
      unreachableKind: "no_upstream",
      interpretHead: this.#interpretHead,
    });
    this.#connections.dispatch({
      path: context.path,
      method: context.method as "GET",
      headers: this.#upstreamHeaders(request),
      body: request.body,
      bodyTimeout: context.idleTimeoutMs,
    }, source);
    return source;
  }

  /** @inheritdoc */
  close(): Promise<void> {
    return this.#connections.close();
  }

  #upstreamHeaders({ context, headers }: ForwardRequest): string[] {
    const remainingMs = Math.max(
      0,
      Math.round(context.deadlineMs - this.#options.nowMs()),
    );
    return [
      ...headers,
      "goldcrest-request-id",
      context.requestId,
      "goldcrest-deadline-ms",
      String(remainingMs),
      "goldcrest-tenant",
      context.tenant,
    ];
  }

  readonly #interpretHead: HeadInterpreter = (status, headers, rawHeaders) => {
    if (
      status === REFUSAL_STATUS &&
      headers["goldcrest-outcome"] === "not-run" &&
      this.#options.refusalsNotRun(this.#poolName)
    ) {
      return { failure: { kind: "upstream_refused", outcome: "not-run" } };
    }
    const connection = headers.connection;
    return {
      head: {
        status,
        headers: filterHeaders(
          rawHeaders,
          typeof connection === "string" ? connection : undefined,
        ),
      },
    };
  };
}
