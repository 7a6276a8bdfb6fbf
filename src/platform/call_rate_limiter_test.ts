import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import { CallRateLimiter } from "./call_rate_limiter.ts";

const READS_PER_S_MAX = 2_000;
const CALLS_PER_S_MAX = 5;
const OUTAGE_MS = 60_000;
const OBSERVED_MS = 10_000;

/** Runs clients that always want to call; returns calls by second after the outage. */
function simulateReturn(clientsCount: number): number[] {
  const callsByS = new Array<number>(OBSERVED_MS / 1_000).fill(0);
  for (let seed = 1; seed <= clientsCount; seed++) {
    const random = new SeededRandom(seed);
    const gate = new CallRateLimiter({ callsPerSMax: CALLS_PER_S_MAX, random });
    let nowMs = 0;
    while (nowMs < OUTAGE_MS + OBSERVED_MS) {
      nowMs += gate.reserve(nowMs);
      if (nowMs < OUTAGE_MS) {
        gate.recordFailure(nowMs);
        continue;
      }
      const second = Math.floor((nowMs - OUTAGE_MS) / 1_000);
      if (second < callsByS.length) {
        callsByS[second] = (callsByS[second] ?? 0) + 1;
      }
      gate.recordSuccess();
    }
  }
  return callsByS;
}

for (const clientsCount of [100, 300]) {
  test(`${clientsCount} clients stay under the platform's limit after an outage`, (t) => {
    const callsByS = simulateReturn(clientsCount);
    t.diagnostic(`calls by second: ${callsByS.join(" ")}`);
    assert.ok(Math.max(...callsByS) <= READS_PER_S_MAX);
    assert.ok((callsByS[0] ?? 0) < clientsCount * CALLS_PER_S_MAX);
    assert.ok((callsByS.at(-1) ?? 0) > 0);
  });
}

test("a burst beyond the bucket waits for the next token", () => {
  const gate = new CallRateLimiter({
    callsPerSMax: 2,
    random: new SeededRandom(1),
  });
  const waits = [0, 0, 0, 0, 0, 0].map((nowMs) => gate.reserve(nowMs));
  assert.deepEqual(waits, [0, 0, 0, 0, 500, 1_000]);
  assert.equal(gate.reserve(10_000), 0);
});

test("a success ends the pause that a failure began", () => {
  const gate = new CallRateLimiter({
    callsPerSMax: 1_000,
    random: new SeededRandom(3),
  });
  gate.recordFailure(0);
  assert.ok(gate.waitMs(0) > 0);
  gate.recordSuccess();
  assert.ok(gate.waitMs(1) < 1_000);
  assert.equal(gate.failuresCount, 0);
});

test("watches and calls that break together lengthen the pause once", () => {
  const gate = new CallRateLimiter({
    callsPerSMax: 5,
    random: new SeededRandom(5),
  });
  gate.recordFailure(1_000);
  const waitMs = gate.waitMs(1_000);
  assert.ok(waitMs > 0 && waitMs <= 500);
  [1_000, 1_000, 1_000].forEach((nowMs) => gate.recordFailure(nowMs));
  assert.equal(gate.waitMs(1_000), waitMs);
  assert.equal(gate.failuresCount, 1);
});
