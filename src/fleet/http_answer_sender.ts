/** Writes the answer to a request of a caller, over HTTP. */
import type { ServerResponse } from "node:http";
import { isBodylessStatus } from "../core/http_status.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import type { UpstreamAnswer } from "../link/upstream_channel.ts";
import type { AnswerSender } from "./routed_request.ts";

/** Options of {@link HttpAnswerSender}. */
export type HttpAnswerSenderOptions = {
  /** Value of `retry-after` for an error, in ms; undefined to omit it. */
  retryAfterMs: (kind: ErrorKind) => number | undefined;
  /** Whether the answer closes its connection; called once, when it is sent. */
  closesConnection: () => boolean;
  /** Called with the size of the body of an upstream's answer, in bytes. */
  onBody: (sizeBytes: number) => void;
};

/** Writes the answer to one request. */
export class HttpAnswerSender implements AnswerSender {
  readonly #response: ServerResponse;
  readonly #options: HttpAnswerSenderOptions;
  /** Whether an answer has been written, perhaps to the buffers of Node.js. */
  isSent = false;
  /** Size of the body of an upstream's answer; 0 before it is written. */
  bodyBytes = 0;

  /**
   * @param response Response of the request.
   * @param options Callbacks of the listener.
   */
  constructor(response: ServerResponse, options: HttpAnswerSenderOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** @inheritdoc */
  answer({ status, headers, body }: UpstreamAnswer): void {
    this.isSent = true;
    const response = this.#response;
    if (this.#options.closesConnection()) {
      response.shouldKeepAlive = false;
    }
    response.sendDate = false;
    this.bodyBytes = body?.length ?? 0;
    this.#options.onBody(this.bodyBytes);
    const length = String(this.bodyBytes);
    response.writeHead(
      status,
      isBodylessStatus(status)
        ? [...headers]
        : [...headers, "content-length", length],
    );
    endAfterBody(response, body);
  }

  /** @inheritdoc */
  fail(kind: ErrorKind, givenRetryAfterMs?: number): void {
    this.isSent = true;
    const { status, message } = errorAnswer(kind);
    const response = this.#response;
    if (this.#options.closesConnection()) {
      response.shouldKeepAlive = false;
    }
    const retryAfterMs = givenRetryAfterMs ?? this.#options.retryAfterMs(kind);
    const headers = ["content-length", String(message.length)];
    if (kind === "credential_unknown") {
      headers.push("www-authenticate", "Bearer");
    }
    if (retryAfterMs !== undefined) {
      headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    }
    response.writeHead(status, headers);
    endAfterBody(response, message);
  }
}

/**
 * Writes the body of a response, and ends the response when the operating system
 * has taken all of it. After `end`, Node.js takes the connection for an idle one
 * although bytes are still to be written, and `closeIdleConnections` cuts them.
 */
function endAfterBody(
  response: ServerResponse,
  body: Uint8Array | string | null,
): void {
  if (body === null || body.length === 0) {
    response.end();
    return;
  }
  response.write(body, () => response.end());
}
