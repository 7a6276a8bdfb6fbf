/** Headers of an answer as undici hands them over. */
import type { Dispatcher } from "undici";

/**
 * Converts raw headers to strings.
 *
 * @param rawHeaders Names and values in turn, as bytes or strings; null before
 *   the head has arrived.
 * @returns Names and values in turn.
 */
export function decodeRawHeaders(
  rawHeaders: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  return ((rawHeaders ?? []) as (Buffer | string)[]).map(String);
}
