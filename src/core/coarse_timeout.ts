/** Timeouts with a coarse resolution, which are cheap in large numbers. */

/**
 * Node.js keeps one list of timers per duration. Durations that are rounded up
 * to this resolution share few lists; no caller needs a finer resolution.
 */
const RESOLUTION_MS = 20;

/**
 * Starts a timer that fires up to 20 ms late.
 *
 * @param callback Called once when the timer fires.
 * @param durationMs Time until the call, in ms.
 * @returns Timer for `clearTimeout`.
 */
export function coarseTimeout(
  callback: () => void,
  durationMs: number,
): NodeJS.Timeout {
  const steps = Math.max(1, Math.ceil(durationMs / RESOLUTION_MS));
  return setTimeout(callback, steps * RESOLUTION_MS);
}
