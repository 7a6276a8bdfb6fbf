/** Reads request bodies. */
import type { IncomingMessage } from "node:http";
import { Transform, type TransformCallback } from "node:stream";
import { RelayError } from "../errors/relay_error.ts";
import type { RequestBody } from "./answer_receiver.ts";

/** Bodies of a declared length up to this are buffered for retries. */
export const REPLAYABLE_BODY_MAX_BYTES = 65_536;

function declaredLength(request: IncomingMessage): number | undefined {
  const text = request.headers["content-length"];
  return text === undefined ? undefined : Number(text);
}

function readIntoBuffer(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", reject);
    request.on("aborted", () => reject(new Error("The caller disconnected")));
  });
}

/** Streamed body that fails when it exceeds its limit. */
class LimitedBody extends Transform {
  readonly #bodyMaxBytes: number;
  #receivedBytes = 0;

  constructor(bodyMaxBytes: number) {
    super();
    this.#bodyMaxBytes = bodyMaxBytes;
  }

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes <= this.#bodyMaxBytes) {
      callback(null, chunk);
      return;
    }
    // A part of the body may have reached the upstream.
    const message = `Body exceeds ${this.#bodyMaxBytes} bytes`;
    const outcome = "unknown";
    callback(new RelayError("body_too_large", message, { outcome }));
  }
}

/**
 * Limits a body without a declared length. A request whose body is too large is
 * not destroyed, so that it can be answered.
 */
function limitStream(
  request: IncomingMessage,
  bodyMaxBytes: number,
): LimitedBody {
  const limited = new LimitedBody(bodyMaxBytes);
  limited.on("error", () => request.unpipe(limited));
  request.on("close", () => {
    if (!request.complete) {
      limited.destroy(new Error("The caller disconnected"));
    }
  });
  return request.pipe(limited);
}

/** Options of {@link readBody}. */
export type ReadBodyOptions = {
  /** Largest body, in bytes. */
  bodyMaxBytes: number;
};

/**
 * Reads a small request body into memory and passes others on as streams.
 *
 * @param request Incoming request.
 * @param options Largest body.
 * @returns The body to forward; null for none.
 * @throws {RelayError} `body_too_large` when the declared length is too large.
 */
export async function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<RequestBody> {
  const lengthBytes = declaredLength(request);
  const chunked = request.headers["transfer-encoding"] !== undefined;
  if (!chunked && (lengthBytes === undefined || lengthBytes === 0)) {
    return null;
  }
  if (lengthBytes !== undefined && lengthBytes > options.bodyMaxBytes) {
    throw new RelayError(
      "body_too_large",
      `Body of ${lengthBytes} bytes exceeds ${options.bodyMaxBytes} bytes`,
    );
  }
  if (!chunked && (lengthBytes ?? 0) <= REPLAYABLE_BODY_MAX_BYTES) {
    return await readIntoBuffer(request);
  }
  return chunked ? limitStream(request, options.bodyMaxBytes) : request;
}
