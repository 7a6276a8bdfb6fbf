/** Decodes the raw headers that undici passes to its handlers. */
import type { Dispatcher } from "undici";

/**
 * Converts raw headers to strings.
 *
 * @param rawHeaders Alternating names and values, as bytes or strings; null
 *   before the headers have arrived.
 * @returns Alternating names and values.
 */
export function decodeRawHeaders(
  rawHeaders: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  return ((rawHeaders ?? []) as (Buffer | string)[]).map(String);
}
