/** Writes an answer to an HTTP response. */
import type { ServerResponse } from "node:http";
import { errorAnswer } from "../errors/error_kinds.ts";
import type {
  AnswerHead,
  AnswerReceiver,
  AnswerSource,
  Failure,
} from "./answer_receiver.ts";

/** Supplies the headers that a listener adds to its answers. */
export interface AnswerDecorator {
  /** Headers of an upstream's answer, as alternating names and values. */
  headHeaders(head: AnswerHead): string[];
  /** Headers of a failure, as alternating names and values. */
  failureHeaders(failure: Failure): string[];
}

/**
 * Receives an answer and writes it to a response. A body that ends early
 * destroys the connection, so that the client never takes it for complete.
 */
export class ResponseReceiver implements AnswerReceiver {
  readonly #response: ServerResponse;
  readonly #decorator: AnswerDecorator;
  #ended = false;

  /**
   * @param response Response of Node's HTTP server.
   * @param decorator Headers of the listener.
   */
  constructor(response: ServerResponse, decorator: AnswerDecorator) {
    this.#response = response;
    this.#decorator = decorator;
  }

  /**
   * Connects the source of the answer: a closed connection cancels it. A slow
   * client pauses it, because `onData` returns false while the write buffer is
   * full; the drained buffer resumes it.
   *
   * @param source Handle to cancel the answer or resume its body.
   */
  connect(source: AnswerSource): void {
    this.#response.on("drain", () => source.resume());
    this.#response.on("close", () => {
      if (!this.#ended) {
        this.#ended = true;
        source.cancel();
      }
    });
  }

  /** @inheritdoc */
  onHead(head: AnswerHead): void {
    const headers = [...head.headers, ...this.#decorator.headHeaders(head)];
    this.#response.writeHead(head.status, headers);
  }

  /** @inheritdoc */
  onData(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  /** @inheritdoc */
  onEnd(): void {
    this.#ended = true;
    this.#response.end();
  }

  /** @inheritdoc */
  onFailure(failure: Failure): void {
    this.#ended = true;
    if (this.#response.headersSent) {
      this.#response.destroy();
      return;
    }
    const answer = errorAnswer(failure.kind);
    const body = Buffer.from(
      JSON.stringify({
        error: failure.kind,
        outcome: failure.outcome,
        message: answer.message,
      }),
    );
    const headers = [
      "content-type",
      "application/json",
      "content-length",
      String(body.length),
      ...this.#decorator.failureHeaders(failure),
    ];
    if (answer.retryAfterS !== undefined) {
      headers.push("retry-after", String(answer.retryAfterS));
    }
    // The rest of the request body is not read, so the connection cannot be
    // reused.
    if (failure.kind === "body_too_large") {
      headers.push("connection", "close");
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(body);
  }
}
