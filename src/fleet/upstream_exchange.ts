/** One HTTP exchange with the local upstream. */
import { type Dispatcher, errors } from "undici";
import { BodyBuffer } from "../core/body_buffer.ts";
import { decodeRawHeaders } from "../core/decode_raw_headers.ts";
import { isBodylessStatus, isValidStatus } from "../core/http_status.ts";
import { hasTooManyChunks } from "../decisions/memory/chunk_allowance.ts";
import type {
  ForwardFailure,
  RequestHandle,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import type { AnswerBuffer, AnswerMemory } from "./answer_memory.ts";
import type { CloseDetector } from "./close_detector.ts";
import type { ConnectionHandler } from "./upstream_connections.ts";
import { copyEndToEndHeaders, type HeaderNames } from "./header_names.ts";
import {
  type AnswerHeaders,
  readUpstreamSignals,
  type SignalsHandler,
} from "./upstream_signals.ts";

/**
 * Maximum size of the body of a refusal, which is read and discarded so that the
 * connection can be reused.
 */
const DISCARDED_MAX_BYTES = 65_536;
/** Informational answers (1xx) after which an upstream counts as faulty. */
const INFORMATIONAL_MAX_COUNT = 64;
const STATUS_FINAL_MIN = 200;
/** Chunks after which their number is checked again. */
const CHUNKS_CHECK_COUNT = 256;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_MISDIRECTED_REQUEST = 421;
const REFUSAL_STATUSES: readonly number[] = [
  STATUS_SERVICE_UNAVAILABLE,
  STATUS_TOO_MANY_REQUESTS,
  STATUS_MISDIRECTED_REQUEST,
];

/** Called when an answer shows that another upstream has the address now. */
export type MisdirectedHandler = () => void;

/** Options of {@link UpstreamExchange}. */
export type UpstreamExchangeOptions = {
  names: HeaderNames;
  /** Id that the caller gave to the request, if any. */
  requestId: string | undefined;
  /** Method of the request. */
  method: string;
  /** Upstream to which the request is sent. */
  upstreamId: string;
  onMisdirected: MisdirectedHandler;
  onSignals: SignalsHandler;
  closeDetector: CloseDetector;
  memory: AnswerMemory;
};

/** undici handler of one exchange; buffers the answer until it is complete. */
export class UpstreamExchange
  implements ConnectionHandler, RequestHandle, AnswerBuffer {
  readonly #receiver: ResultReceiver;
  readonly #names: HeaderNames;
  readonly #requestId: string | undefined;
  readonly #method: string;
  readonly #upstreamId: string;
  readonly #onMisdirected: MisdirectedHandler;
  readonly #onSignals: SignalsHandler;
  readonly #closeDetector: CloseDetector;
  readonly #memory: AnswerMemory;
  #controller: Dispatcher.DispatchController | undefined;
  #isDone = false;
  #status = 0;
  #isCloseDelimited = false;
  #headers: string[] = [];
  #informationalCount = 0;
  #discardedBytes = 0;
  readonly #body = new BodyBuffer();
  #chunksCount = 0;
  /** @inheritdoc */
  bodyBytes = 0;
  /** @inheritdoc */
  onConnectionFree: ConnectionHandler["onConnectionFree"];
  /** @inheritdoc */
  stopWaiting: ConnectionHandler["stopWaiting"];
  #startedAtMs = performance.now();

  /**
   * @param receiver Receives the result.
   * @param options Names, id of the request and parts of the client.
   */
  constructor(receiver: ResultReceiver, options: UpstreamExchangeOptions) {
    this.#receiver = receiver;
    this.#names = options.names;
    this.#requestId = options.requestId;
    this.#method = options.method;
    this.#upstreamId = options.upstreamId;
    this.#onMisdirected = options.onMisdirected;
    this.#onSignals = options.onSignals;
    this.#closeDetector = options.closeDetector;
    this.#memory = options.memory;
  }

  /** @inheritdoc */
  cancel(): void {
    this.#isDone = true;
    this.#releaseBody();
    this.stopWaiting?.();
    this.#controller?.abort(new Error("Cancelled"));
  }

  /** @inheritdoc */
  queryRun(): void {
    if (this.#controller !== undefined && !this.#isDone) {
      this.#receiver.onRunning?.(performance.now() - this.#startedAtMs);
    }
  }

  /** @inheritdoc */
  discard(): void {
    this.#controller?.abort(new Error("The answer is too large"));
  }

  /**
   * Called by undici when the request is about to be written. An error is thrown
   * if the request is cancelled: an abort would close the connection, although
   * nothing has been written to it.
   */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#startedAtMs = performance.now();
    if (this.#isDone) {
      throw new Error("Cancelled before it was sent");
    }
  }

  /** Called by undici with the head of the answer. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (!isValidStatus(status)) {
      this.#fail({
        kind: "upstream_failed",
        isNotRun: false,
        hasReached: true,
      });
      controller.abort(new Error("The answer has no valid status"));
      return;
    }
    if (status < STATUS_FINAL_MIN) {
      this.#informationalCount++;
      if (this.#informationalCount > INFORMATIONAL_MAX_COUNT) {
        controller.abort(new Error("Too many informational answers"));
      }
      return;
    }
    if (this.#isDone) {
      return;
    }
    this.#status = status;
    this.#isCloseDelimited = this.#mayHaveBody(status) &&
      headers["content-length"] === undefined &&
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
    // Another upstream answers with this status, so its headers say nothing of
    // the one that was meant.
    if (status !== STATUS_MISDIRECTED_REQUEST) {
      this.#onSignals(readUpstreamSignals(headers, {
        upstreamId: this.#upstreamId,
        names: this.#names,
      }));
    }
    if (
      REFUSAL_STATUSES.includes(status) &&
      (headers[this.#names.notRun] !== undefined ||
        status === STATUS_MISDIRECTED_REQUEST)
    ) {
      this.#refuse(status);
      // A faulty upstream may send a refusal once more. Without an id, it would
      // be taken for that of the next request on the connection.
      if (headers[this.#names.requestId] === undefined) {
        controller.abort(new Error("A refusal without an id"));
      }
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
    this.#chunksCount++;
    if (this.#chunksCount % CHUNKS_CHECK_COUNT === 0 && this.#isFlood()) {
      controller.abort(new Error("The answer has too many small chunks"));
      return;
    }
    if (this.#isDone) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > DISCARDED_MAX_BYTES) {
        controller.abort(new Error("The body of a refusal is too large"));
      }
      return;
    }
    this.#body.push(chunk);
    this.#memory.add(this, chunk.length);
  }

  /** Called by undici at the end of the body. */
  onResponseEnd(): void {
    this.onConnectionFree?.(true);
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
    const body = this.bodyBytes === 0 ? null : this.#body.concat();
    this.#releaseBody();
    this.#receiver.onAnswer({
      status: this.#status,
      headers: this.#headers,
      body,
      runMs: performance.now() - this.#startedAtMs,
    });
  }

  /** Called by undici when the exchange fails. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.onConnectionFree?.(false);
    this.#endCloseDelimited();
    // undici starts a request only on an open connection. A failure before the
    // start therefore proves that no byte was written. A request that undici
    // does not take, like one with two `host` headers, says nothing of the
    // upstream.
    const isSent = this.#controller !== undefined;
    this.#fail({
      kind: isSent
        ? "upstream_failed"
        : error instanceof errors.InvalidArgumentError
        ? "bad_request"
        : "no_upstream",
      isNotRun: !isSent,
      hasReached: isSent,
    });
  }

  /** Returns whether an answer may have a body; without one it has its end. */
  #mayHaveBody(status: number): boolean {
    return this.#method !== "HEAD" && !isBodylessStatus(status);
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

  /** Reports a refusal; a body on a connection that is kept is discarded. */
  #refuse(status: number): void {
    if (status === STATUS_MISDIRECTED_REQUEST) {
      this.#onMisdirected();
    }
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
    this.#body.clear();
  }

  #isFlood(): boolean {
    return hasTooManyChunks({
      count: this.#chunksCount,
      sizeBytes: this.bodyBytes,
      elapsedMs: performance.now() - this.#startedAtMs,
    });
  }
}
