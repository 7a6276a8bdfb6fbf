/** Waits for conditions in tests. */
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 5;
const TIME_LIMIT_MS = 20_000;

/**
 * Waits until a condition holds. The time limit only ends a test that hangs.
 *
 * @param description Condition, for the error message.
 * @param condition Returns true when it holds.
 * @throws When the condition does not hold within 20 s.
 *
 * @example
 * await waitFor("the request runs", () => upstream.requests.length === 1);
 */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const limitMs = performance.now() + TIME_LIMIT_MS;
  while (!(await condition())) {
    if (performance.now() > limitMs) {
      throw new Error(`Timed out waiting until ${description}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
