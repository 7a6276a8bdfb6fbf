/** Bound on the bodies whose requests are forwarded. */
import type { CallerMemory } from "./caller_memory.ts";

/** Bodies up to this are forwarded while larger ones are refused. */
const SMALL_MAX_BYTES = 65_536;
/** Ratio to the bound from which on small bodies are refused, too. */
const SMALL_HELD_RATIO = 1.5;

/**
 * Decides whether a request with a complete body is forwarded. The bytes of
 * forwarded requests cannot be released by a refusal, and bodies are received
 * and completed however many of these there are, so they need a bound of their
 * own.
 *
 * @param memory Account of the bytes that are held for callers, which counts the
 *   body as forwarded.
 * @param bodyBytes Size of the body.
 * @returns False when the request should be refused.
 */
export function mayForward(memory: CallerMemory, bodyBytes: number): boolean {
  if (!memory.isFull) {
    return true;
  }
  return bodyBytes <= SMALL_MAX_BYTES &&
    memory.heldBytes <= memory.maxBytes * SMALL_HELD_RATIO;
}
