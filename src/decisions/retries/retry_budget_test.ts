import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

test("retries of all daemons stay within ratio and slack when every request fails", () => {
  const options = { ratio: 0.2, windowMs: 10_000, slackCount: 48 };
  const daemonsCount = 14;
  const requestsPerDaemon = 100;
  let repeats = 0;
  for (let daemon = 0; daemon < daemonsCount; daemon++) {
    const budget = new RetryBudget(options);
    for (let index = 0; index < requestsPerDaemon; index++) {
      const nowMs = index * 50;
      budget.recordRequest("certify", nowMs);
      repeats += budget.take("certify", { nowMs, daemonsCount, cost: 1 })
        ? 1
        : 0;
    }
  }
  const allowed = 0.2 * daemonsCount * requestsPerDaemon + 48;
  assert.ok(repeats > 0);
  assert.ok(repeats <= allowed, `${repeats} of ${allowed}`);
});
