/** Checks admitted requests against a usage cap. */
import type { UsageCap } from "../decisions/caps/cap_limits.ts";

/** Cap and the time in which at least one daemon has it in force. */
export type CapInForce = { fromMs: number; untilMs: number; cap: UsageCap };

/**
 * Finds the first window of 5 s with more admitted requests than a cap allows.
 *
 * @param timesMs Times of the admitted requests, in order.
 * @param caps Caps; a window has to meet the largest one in force in it.
 * @returns Description of the window; undefined when there is none.
 */
export function findExcess(
  timesMs: readonly number[],
  caps: readonly CapInForce[],
): string | undefined {
  const windowMs = 5_000;
  let first = 0;
  for (let last = 0; last < timesMs.length; last++) {
    const endMs = timesMs[last] as number;
    while ((timesMs[first] as number) <= endMs - windowMs) {
      first++;
    }
    const startMs = endMs - windowMs;
    const bound = Math.max(
      ...caps
        .filter(({ fromMs, untilMs }) => fromMs <= endMs && untilMs > startMs)
        .map(({ cap }) => (cap.ratePerS * 5 + cap.burstCount) * 1.1 + 20),
    );
    const count = last - first + 1;
    if (count > bound) {
      return `${count} admitted until ${endMs} ms, bound ${bound}`;
    }
  }
  return undefined;
}
