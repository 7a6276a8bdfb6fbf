/** Reads request bodies of bounded size as text. */
import type { IncomingMessage } from "node:http";

/** Error for a body that is larger than allowed. */
export class BodyTooLargeError extends Error {
  /**
   * @param maxBytes Maximum size of the body, in bytes.
   */
  constructor(maxBytes: number) {
    super(`The body is larger than ${maxBytes} bytes`);
    this.name = "BodyTooLargeError";
  }
}

/** Options of {@link readBodyText}. */
export type ReadBodyTextOptions = {
  /** Maximum size of the body, in bytes. */
  maxBytes: number;
};

/**
 * Reads a request body into a string.
 *
 * @param request Request whose body is read.
 * @param options Size limit.
 * @returns The body as UTF-8 text.
 * @throws {BodyTooLargeError} As soon as the body exceeds the limit.
 */
export async function readBodyText(
  request: IncomingMessage,
  options: ReadBodyTextOptions,
): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  // The iterator must not destroy the socket, on which the error answer is sent.
  const body = request.iterator({ destroyOnReturn: false });
  for await (const chunk of body as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > options.maxBytes) {
      throw new BodyTooLargeError(options.maxBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
