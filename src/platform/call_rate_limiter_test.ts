import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import { CallRateLimiter } from "./call_rate_limiter.ts";

const PLATFORM_READS_PER_S_MAX = 2_000;
const CALLS_PER_S_MAX = 5;
const OUTAGE_MS = 60_000;
const OBSERVED_MS = 10_000;

/** Simulates clients that call without pause; returns their calls in each second after the outage. */
function simulateRecovery(clientsCount: number): number[] {
  const callsByS = new Array<number>(OBSERVED_MS / 1_000).fill(0);
  for (let seed = 1; seed <= clientsCount; seed++) {
    const random = new SeededRandom(seed);
    const limiter = new CallRateLimiter({
      callsPerSMax: CALLS_PER_S_MAX,
      random,
    });
    let nowMs = 0;
    while (nowMs < OUTAGE_MS + OBSERVED_MS) {
      nowMs += limiter.reserve(nowMs);
      if (nowMs < OUTAGE_MS) {
        limiter.recordFailure(nowMs);
        continue;
      }
      const second = Math.floor((nowMs - OUTAGE_MS) / 1_000);
      if (second < callsByS.length) {
        callsByS[second] = (callsByS[second] ?? 0) + 1;
      }
      limiter.recordSuccess();
    }
  }
  return callsByS;
}

for (const clientsCount of [100, 300]) {
  test(`${clientsCount} clients stay within the platform's limit after an outage, and start below their full rate`, (t) => {
    const callsByS = simulateRecovery(clientsCount);
    t.diagnostic(`calls by second: ${callsByS.join(" ")}`);
    assert.ok(Math.max(...callsByS) <= PLATFORM_READS_PER_S_MAX);
    assert.ok((callsByS[0] ?? 0) < clientsCount * CALLS_PER_S_MAX);
    assert.ok((callsByS.at(-1) ?? 0) > 0);
  });
}

test("calls beyond the burst wait for the next tokens", () => {
  const limiter = new CallRateLimiter({
    callsPerSMax: 2,
    random: new SeededRandom(1),
  });
  const waits = [0, 0, 0, 0, 0, 0].map((nowMs) => limiter.reserve(nowMs));
  assert.deepEqual(waits, [0, 0, 0, 0, 500, 1_000]);
  assert.equal(limiter.reserve(10_000), 0);
});

test("a success resets the failure count, and the wait after it is under a second", () => {
  const limiter = new CallRateLimiter({
    callsPerSMax: 1_000,
    random: new SeededRandom(3),
  });
  limiter.recordFailure(0);
  assert.ok(limiter.waitMs(0) > 0);
  limiter.recordSuccess();
  assert.ok(limiter.waitMs(1) < 1_000);
  assert.equal(limiter.failuresCount, 0);
});

test("watches and calls that fail together cause one pause", () => {
  const limiter = new CallRateLimiter({
    callsPerSMax: 5,
    random: new SeededRandom(5),
  });
  limiter.recordFailure(1_000);
  const waitMs = limiter.waitMs(1_000);
  assert.ok(waitMs > 0 && waitMs <= 500);
  [1_000, 1_000, 1_000].forEach((nowMs) => limiter.recordFailure(nowMs));
  assert.equal(limiter.waitMs(1_000), waitMs);
  assert.equal(limiter.failuresCount, 1);
});
