/** What the head of a request says of its body. */
import type { IncomingMessage } from "node:http";

/**
 * Returns whether a request has a body.
 *
 * @param message Request whose head has been received.
 * @returns False also for a body of no bytes with an announced length.
 */
export function hasBody(
  { headers }: Pick<IncomingMessage, "headers">,
): boolean {
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
}

/**
 * Returns the announced length of a body.
 *
 * @param message Request whose head has been received.
 * @returns Length in bytes; 0 if it is not announced.
 */
export function announcedBytesOf(
  { headers }: Pick<IncomingMessage, "headers">,
): number {
  return headers["transfer-encoding"] === undefined
    ? Number(headers["content-length"] ?? 0)
    : 0;
}
