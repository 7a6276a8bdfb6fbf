/** Adapts undici's dispatch to the answer interfaces. */
import type { Dispatcher } from "undici";
import { decodeRawHeaders } from "../core/decode_raw_headers.ts";
import { isValidStatus } from "../core/http_status.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import { RelayError } from "../errors/relay_error.ts";
import type {
  AnswerHead,
  AnswerReceiver,
  AnswerSource,
  Failure,
} from "./answer_receiver.ts";

/** Converts the head of an HTTP response to an answer head or a failure. */
export type HeadInterpreter = (
  status: number,
  headers: Record<string, string | string[] | undefined>,
  rawHeaders: readonly string[],
) => { head: AnswerHead } | { failure: Failure; closeConnection?: boolean };

/** Options of {@link HttpAnswerSource}. */
export type HttpAnswerSourceOptions = {
  /** Error kind when a connection is lost after bytes may have been written. */
  connectionLostKind: ErrorKind;
  /** Error kind when no connection could be made. */
  unreachableKind: ErrorKind;
  interpretHead: HeadInterpreter;
};

/** Adapts one HTTP exchange of undici to {@link AnswerSource}. */
export class HttpAnswerSource
  implements Dispatcher.DispatchHandler, AnswerSource {
  readonly #receiver: AnswerReceiver;
  readonly #options: HttpAnswerSourceOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #cancelled = false;
  #finished = false;

  /**
   * @param receiver Stage that receives the answer.
   * @param options Error kinds and interpreter of heads.
   */
  constructor(receiver: AnswerReceiver, options: HttpAnswerSourceOptions) {
    this.#receiver = receiver;
    this.#options = options;
  }

  /** @inheritdoc */
  cancel(): void {
    this.#cancelled = true;
    this.#finished = true;
    this.#controller?.abort(new Error("Cancelled by the receiver"));
  }

  /** @inheritdoc */
  resume(): void {
    this.#controller?.resume();
  }

  /** Called by undici when the request is about to be written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled) {
      controller.abort(new Error("Cancelled before it was sent"));
    }
  }

  /** Called by undici for the head of the answer. */
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.#finished) {
      return;
    }
    if (!isValidStatus(status)) {
      this.#finished = true;
      controller.abort(new Error("The answer has no valid status"));
      this.#receiver.onFailure({
        kind: this.#options.connectionLostKind,
        outcome: "unknown",
      });
      return;
    }
    if (status < 200) {
      return;
    }
    const rawHeaders = decodeRawHeaders(controller.rawHeaders);
    const result = this.#options.interpretHead(status, headers, rawHeaders);
    if ("head" in result) {
      this.#receiver.onHead(result.head);
      return;
    }
    this.#finished = true;
    // Without `closeConnection` the body, which is short for a failure, is read
    // and discarded, so that the connection can be reused.
    if (result.closeConnection === true) {
      controller.abort(new Error("The answer does not match the request"));
    }
    this.#receiver.onFailure(result.failure);
  }

  /** Called by undici for each part of the body. */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#finished) {
      return;
    }
    if (!this.#receiver.onData(chunk)) {
      controller.pause();
    }
  }

  /** Called by undici when the body is complete. */
  onResponseEnd(): void {
    if (this.#finished) {
      return;
    }
    this.#finished = true;
    this.#receiver.onEnd();
  }

  /** Called by undici when the exchange fails at any point. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#finished) {
      return;
    }
    this.#finished = true;
    this.#receiver.onFailure(this.#describeFailure(error));
  }

  // undici starts a request only on an open connection, so a failure before
  // the start proves that no byte was written.
  #describeFailure(error: Error): Failure {
    if (error instanceof RelayError) {
      return { kind: error.kind, outcome: error.outcome };
    }
    return this.#controller === undefined
      ? { kind: this.#options.unreachableKind, outcome: "not-run" }
      : { kind: this.#options.connectionLostKind, outcome: "unknown" };
  }
}
