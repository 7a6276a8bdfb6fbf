/** Reads request bodies. */
import type { IncomingMessage } from "node:http";
import { RelayError } from "../errors/relay_error.ts";
import type { RequestBody } from "./answer_receiver.ts";

/** Bodies up to this length are held in memory, so that attempts can repeat. */
export const REPLAYABLE_BODY_MAX_BYTES = 65_536;

function declaredLength(request: IncomingMessage): number | undefined {
  const text = request.headers["content-length"];
  return text === undefined ? undefined : Number(text);
}

function collect(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks)));
    request.on("error", reject);
    request.on("aborted", () => reject(new Error("The caller has gone")));
  });
}

/** Fails a streamed body that grows past its limit. */
function limitStream(request: IncomingMessage, bodyMaxBytes: number): void {
  let receivedBytes = 0;
  request.on("data", (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > bodyMaxBytes) {
      request.destroy(new Error("The body is larger than the route allows"));
    }
  });
  request.pause();
}

/** Options of {@link readBody}. */
export type ReadBodyOptions = {
  /** Largest body, in bytes. */
  bodyMaxBytes: number;
};

/**
 * Reads a request's body: none, a small one into memory, or a stream.
 *
 * @param request Incoming request.
 * @param options Largest body.
 * @returns The body to forward.
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
    return await collect(request);
  }
  if (chunked) {
    limitStream(request, options.bodyMaxBytes);
  }
  return request;
}
