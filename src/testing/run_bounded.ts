/** Runs code in tests that may not end. */
import { runInNewContext } from "node:vm";

const TIME_LIMIT_MS = 20_000;

/**
 * Runs a synchronous function. The time limit only ends a test that hangs, also
 * within a regular expression.
 *
 * @param run Function to run.
 * @returns Its result.
 * @throws When it does not return within 20 s, and what it throws.
 *
 * @example
 * const fields = runBounded(() => parseFields(" ".repeat(1_000_000)));
 */
export function runBounded<T>(run: () => T): T {
  return runInNewContext("run()", { run }, { timeout: TIME_LIMIT_MS }) as T;
}
