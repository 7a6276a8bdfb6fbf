/** Reads request bodies of bounded size as text. */
import type { IncomingMessage } from "node:http";

/** Error for a body that is larger than allowed. */
export class TextTooLargeError extends Error {
  /**
   * @param maxBytes Maximum size of the body, in bytes.
   */
  constructor(maxBytes: number) {
    super(`The body is larger than ${maxBytes} bytes`);
    this.name = "TextTooLargeError";
  }
}

/** Options of {@link readText}. */
export type ReadTextOptions = {
  /** Maximum size of the body, in bytes. */
  maxBytes: number;
};

/**
 * Reads a request body into a string.
 *
 * @param request Request whose body is read.
 * @param options Size limit.
 * @returns The body as UTF-8 text.
 * @throws {TextTooLargeError} As soon as the body exceeds the limit.
 */
export async function readText(
  request: IncomingMessage,
  options: ReadTextOptions,
): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  // The iterator must not destroy the socket, on which the error answer is sent.
  const body = request.iterator({ destroyOnReturn: false });
  for await (const chunk of body as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > options.maxBytes) {
      throw new TextTooLargeError(options.maxBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
