/** Timers that share their lists with others of about the same duration. */

/** Timeouts need no finer steps, and Node.js keeps a list per duration. */
const STEP_MS = 20;

/**
 * Starts a timer that fires up to 20 ms late.
 *
 * @param callback Called once.
 * @param durationMs Time until then, in ms.
 * @returns Timer for `clearTimeout`.
 */
export function coarseTimeout(
  callback: () => void,
  durationMs: number,
): NodeJS.Timeout {
  const steps = Math.max(1, Math.ceil(durationMs / STEP_MS));
  return setTimeout(callback, steps * STEP_MS);
}
