/** Decodes the raw headers that undici passes to its handlers. */
import type { Dispatcher } from "undici";

/**
 * Converts raw headers to strings. Values may contain any byte from 0x80 on, so
 * they are decoded as Latin-1, in which Node.js writes headers. The bytes of text
 * in another encoding are thus forwarded unchanged.
 *
 * @param rawHeaders Alternating names and values, as bytes or strings; null
 *   before the headers have arrived.
 * @returns Alternating names and values.
 */
export function decodeRawHeaders(
  rawHeaders: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  return ((rawHeaders ?? []) as (Buffer | string)[]).map((part) =>
    typeof part === "string" ? part : part.toString("latin1")
  );
}
