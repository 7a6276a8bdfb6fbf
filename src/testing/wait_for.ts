/** Waits for conditions of tests. */
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 5;
const GIVE_UP_MS = 20_000;

/**
 * Waits until a condition holds. The time limit only ends a hanging test.
 *
 * @param description Condition, for the error.
 * @param condition Returns true when it holds.
 * @throws When the condition does not hold within 20 s.
 *
 * @example
 * await waitFor("the request runs", () => upstream.effects.length === 1);
 */
export async function waitFor(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const giveUpMs = performance.now() + GIVE_UP_MS;
  while (!(await condition())) {
    if (performance.now() > giveUpMs) {
      throw new Error(`Gave up waiting until ${description}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
