/** HTTP client for the local upstream, with a pool of persistent connections. */
import type { Socket } from "node:net";
import process from "node:process";
import { buildConnector, type Dispatcher, Pool } from "undici";
import { decodeRawHeaders } from "../core/decode_raw_headers.ts";
import type { Address } from "../schemas/common_schema.ts";
import { type AnswerBuffer, AnswerMemory } from "./answer_memory.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
  UpstreamAnswer,
} from "../link/upstream_channel.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Idle time after which a connection is not used again for a request that is
 * not idempotent. If the upstream has dropped the connection meanwhile, the
 * request fails and cannot be sent again.
 */
const UNSAFE_IDLE_MAX_MS = 200;
const HEALTH_TIMEOUT_MS = 1_000;
/**
 * Maximum size of all answers that are being received. When it is exceeded, the
 * largest one is aborted, so a server that sends without end does not exhaust
 * the memory. An answer is copied on its way, and a process may have 250 MB.
 */
const ANSWERS_MAX_BYTES = 33_554_432;
/**
 * Maximum size of the body of a refusal, which is read and discarded so that the
 * connection can be reused.
 */
const DISCARDED_MAX_BYTES = 65_536;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_MISDIRECTED_REQUEST = 421;
const REFUSAL_STATUSES: readonly number[] = [
  STATUS_SERVICE_UNAVAILABLE,
  STATUS_TOO_MANY_REQUESTS,
  STATUS_MISDIRECTED_REQUEST,
];

/** Result of a successful health check. */
export type HealthResult = {
  readonly upstreamId: string;
  readonly slotsCount: number;
};

type AnswerHeaders = Record<string, string | string[] | undefined>;

/** Called when an answer shows that another upstream has the address now. */
export type MisdirectedHandler = () => void;

/** An empty line, which HTTP servers ignore between requests. */
const PROBE_BYTES = "\r\n";

/**
 * Distinguishes an orderly close of a connection by the upstream from a reset.
 * Answers without a length are complete only after an orderly close.
 */
class CloseDetector {
  /** Number of open exchanges whose answer has no length. */
  closeDelimitedCount = 0;
  /**
   * Whether the close of the connection whose `end` handlers are running was
   * orderly; false at any other time.
   */
  isOrderlyClose = false;

  /**
   * Wraps a connector so that the end of each connection is handled here before
   * undici handles it.
   *
   * @param connector Connector of undici.
   * @returns The wrapped connector.
   */
  wrapConnector(connector: buildConnector.connector): buildConnector.connector {
    return (options, callback) =>
      connector(options, (...result) => {
        const [, socket] = result;
        socket?.prependListener("end", () => this.#onEnd(socket));
        callback(...result);
      });
  }

  /**
   * Checks whether the close was orderly. libuv reports a reset that arrives
   * directly after data as an orderly end, but a write to a reset connection
   * fails immediately.
   */
  #onEnd(socket: Socket): void {
    if (this.closeDelimitedCount === 0) {
      return;
    }
    socket.write(PROBE_BYTES);
    this.isOrderlyClose = socket.errored === null;
    process.nextTick(() => {
      this.isOrderlyClose = false;
    });
  }
}

/** undici handler of one exchange; buffers the answer until it is complete. */
class UpstreamExchange
  implements Dispatcher.DispatchHandler, RequestHandle, AnswerBuffer {
  readonly #receiver: ResultReceiver;
  readonly #names: HeaderNames;
  readonly #requestId: string | undefined;
  readonly #onMisdirected: MisdirectedHandler;
  readonly #closeDetector: CloseDetector;
  readonly #memory: AnswerMemory;
  #controller: Dispatcher.DispatchController | undefined;
  #isDone = false;
  #status = 0;
  #isCloseDelimited = false;
  #headers: string[] = [];
  #discardedBytes = 0;
  #chunks: Buffer[] = [];
  /** @inheritdoc */
  bodyBytes = 0;
  #startedAtMs = performance.now();

  constructor(receiver: ResultReceiver, options: {
    names: HeaderNames;
    requestId: string | undefined;
    onMisdirected: MisdirectedHandler;
    closeDetector: CloseDetector;
    memory: AnswerMemory;
  }) {
    this.#receiver = receiver;
    this.#names = options.names;
    this.#requestId = options.requestId;
    this.#onMisdirected = options.onMisdirected;
    this.#closeDetector = options.closeDetector;
    this.#memory = options.memory;
  }

  /** @inheritdoc */
  cancel(): void {
    this.#isDone = true;
    this.#releaseBody();
    this.#controller?.abort(new Error("Cancelled"));
  }

  /** @inheritdoc */
  discard(): void {
    this.#controller?.abort(new Error("The answer is too large"));
  }

  /** Called by undici when the request is about to be written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#startedAtMs = performance.now();
    if (this.#isDone) {
      controller.abort(new Error("Cancelled before it was sent"));
    }
  }

  /** Called by undici with the head of the answer. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (this.#isDone || status < 200) {
      return;
    }
    this.#status = status;
    this.#isCloseDelimited = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#closeDetector.closeDelimitedCount += this.#isCloseDelimited ? 1 : 0;
    if (this.#isMismatched(status, headers)) {
      this.#fail({
        kind: "upstream_failed",
        isNotRun: false,
        hasReached: true,
      });
      controller.abort(new Error("The answer does not belong to the request"));
      return;
    }
    if (
      REFUSAL_STATUSES.includes(status) &&
      (headers[this.#names.notRun] !== undefined ||
        status === STATUS_MISDIRECTED_REQUEST)
    ) {
      this.#refuse(status);
      return;
    }
    this.#headers = copyEndToEndHeaders(
      decodeRawHeaders(controller.rawHeaders),
      [
        this.#names.load,
        this.#names.requestId,
      ],
    );
  }

  /** Called by undici with each chunk of the body. */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#isDone) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > DISCARDED_MAX_BYTES) {
        controller.abort(new Error("The body of a refusal is too large"));
      }
      return;
    }
    this.#chunks.push(chunk);
    this.#memory.add(this, chunk.length);
  }

  /** Called by undici at the end of the body. */
  onResponseEnd(): void {
    const wasCloseDelimited = this.#isCloseDelimited;
    this.#endCloseDelimited();
    if (this.#isDone) {
      return;
    }
    // undici completes an answer without a length at any end of the connection,
    // but only an orderly close marks a complete answer.
    if (wasCloseDelimited && !this.#closeDetector.isOrderlyClose) {
      this.#fail({
        kind: "upstream_failed",
        isNotRun: false,
        hasReached: true,
      });
      return;
    }
    this.#isDone = true;
    const body = this.#body();
    this.#releaseBody();
    this.#receiver.onAnswer({
      status: this.#status,
      headers: this.#headers,
      body,
      runMs: performance.now() - this.#startedAtMs,
    });
  }

  /** Called by undici when the exchange fails. */
  onResponseError(): void {
    this.#endCloseDelimited();
    // undici starts a request only on an open connection. A failure before the
    // start therefore proves that no byte was written.
    const isSent = this.#controller !== undefined;
    this.#fail({
      kind: isSent ? "upstream_failed" : "no_upstream",
      isNotRun: !isSent,
      hasReached: isSent,
    });
  }

  #endCloseDelimited(): void {
    if (this.#isCloseDelimited) {
      this.#isCloseDelimited = false;
      this.#closeDetector.closeDelimitedCount--;
    }
  }

  /**
   * Returns whether an answer does not belong to this request. If both carry a
   * request id, this is the case when the ids differ; otherwise, when the
   * answer is a success without the upstream's signature.
   */
  #isMismatched(status: number, headers: AnswerHeaders): boolean {
    const echoed = headers[this.#names.requestId];
    if (this.#requestId !== undefined && echoed !== undefined) {
      return echoed !== this.#requestId;
    }
    return status < 300 && headers[this.#names.answerSignature] === undefined;
  }

  #refuse(status: number): void {
    if (status === STATUS_MISDIRECTED_REQUEST) {
      this.#onMisdirected();
    }
    // The exchange is not aborted: the body, which is short, is read and
    // discarded, so that the connection can be reused.
    this.#fail({
      kind: "upstream_refused",
      isNotRun: true,
      hasReached: true,
    });
  }

  #fail(failure: ForwardFailure): void {
    if (this.#isDone) {
      return;
    }
    this.#isDone = true;
    this.#releaseBody();
    this.#receiver.onFailure(failure);
  }

  #releaseBody(): void {
    this.#memory.release(this);
    this.#chunks = [];
  }

  #body(): UpstreamAnswer["body"] {
    if (this.bodyBytes === 0) {
      return null;
    }
    return this.#chunks.length === 1
      ? this.#chunks[0] as Buffer
      : Buffer.concat(this.#chunks, this.bodyBytes);
  }
}

/** HTTP client for one upstream. */
export class UpstreamHttpClient {
  readonly #pool: Pool;
  readonly #unsafePool: Pool;
  readonly #isIdempotent: (routeName: string) => boolean;
  readonly #closeDetector = new CloseDetector();
  readonly #memory = new AnswerMemory(ANSWERS_MAX_BYTES);
  readonly #names: HeaderNames;
  readonly #onMisdirected: MisdirectedHandler;

  /**
   * @param address Address of the upstream.
   * @param names Header names.
   * @param options Maximum number of connections, whether the requests of a
   *   route are idempotent, and the handler for answers of another upstream.
   */
  constructor(
    address: Address,
    names: HeaderNames,
    options: {
      connectionsMaxCount: number;
      isIdempotent: (routeName: string) => boolean;
      onMisdirected: MisdirectedHandler;
    },
  ) {
    this.#names = names;
    this.#onMisdirected = options.onMisdirected;
    this.#isIdempotent = options.isIdempotent;
    const origin = `http://${address.host}:${address.port}`;
    const poolOptions: Pool.Options = {
      connections: options.connectionsMaxCount,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.#closeDetector.wrapConnector(
        buildConnector({ timeout: CONNECT_TIMEOUT_MS }),
      ),
    };
    this.#pool = new Pool(origin, poolOptions);
    this.#unsafePool = new Pool(origin, {
      ...poolOptions,
      keepAliveTimeout: UNSAFE_IDLE_MAX_MS,
      keepAliveMaxTimeout: UNSAFE_IDLE_MAX_MS,
    });
  }

  /**
   * Sends a request.
   *
   * @param request Request, with its current remaining time.
   * @param receiver Receives the result.
   * @returns Handle to cancel it.
   */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const names = this.#names;
    const exchange = new UpstreamExchange(receiver, {
      names,
      requestId: findHeader(request.headers, names.requestId),
      onMisdirected: this.#onMisdirected,
      closeDetector: this.#closeDetector,
      memory: this.#memory,
    });
    const pool = this.#isIdempotent(request.routeName)
      ? this.#pool
      : this.#unsafePool;
    pool.dispatch({
      method: request.method as "GET",
      path: request.path,
      headers: [
        ...request.headers,
        names.deadlineMs,
        String(Math.max(1, Math.floor(request.remainingMs))),
        names.targetUpstream,
        request.upstreamId,
        names.callerPool,
        request.callerPool,
      ],
      body: request.body as Buffer | null,
    }, exchange);
    return exchange;
  }

  /**
   * Checks the health of the upstream.
   *
   * @param healthPath Path of the health check.
   * @returns Id and number of slots; undefined when the upstream is not healthy,
   *   does not answer, or does not report its id and slots.
   */
  async checkHealth(healthPath: string): Promise<HealthResult | undefined> {
    try {
      const answer = await this.#pool.request({
        method: "GET",
        path: healthPath,
        signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS),
      });
      await answer.body.dump();
      const upstreamId = answer.headers[this.#names.upstreamId];
      const slots = String(answer.headers[this.#names.load]).split(",")[2];
      const slotsCount = Number(slots);
      const isUsable = answer.statusCode === 200 &&
        typeof upstreamId === "string" && slotsCount > 0;
      return isUsable ? { upstreamId, slotsCount } : undefined;
    } catch {
      // An upstream that does not answer counts as unhealthy until its next
      // heartbeat.
      return undefined;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#pool.destroy(), this.#unsafePool.destroy()]);
  }
}

/**
 * Finds the value of a header.
 *
 * @param headers Alternating names and values.
 * @param name Name in lower case.
 * @returns Value of the first header with the name; undefined without one.
 */
export function findHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}
