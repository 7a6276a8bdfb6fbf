import assert from "node:assert/strict";
import { test } from "node:test";
import { type Silence, SilenceMonitor } from "./silence_monitor.ts";

const SILENCE: Silence = {
  nowMs: 0,
  lastReceivedAtMs: 0,
  hasOpenRequests: true,
  isRemote: false,
};

/** Times of the first ping and of the close of a peer that sends nothing, in ms. */
function timesOf(options: Partial<Silence>): [number, number] {
  const monitor = new SilenceMonitor();
  const times: number[] = [];
  for (let nowMs = 0; times.length < 2; nowMs += 100) {
    const action = monitor.check({ ...SILENCE, ...options, nowMs });
    if (action !== "none") {
      times.push(nowMs);
    }
  }
  return times as [number, number];
}

test("a silent peer is pinged and given up within 1.4 s while requests are open", () => {
  const [pingedAtMs, closedAtMs] = timesOf({ hasOpenRequests: true });
  assert.equal(pingedAtMs, 300);
  assert.ok(closedAtMs <= 1_400);
});

test("an idle peer is pinged after 2 s, and after 5 s in another data centre", () => {
  assert.equal(timesOf({ hasOpenRequests: false })[0], 2_000);
  assert.equal(
    timesOf({ hasOpenRequests: false, isRemote: true })[0],
    5_000,
  );
});

test("a peer without an answer to a ping is suspect until bytes arrive", () => {
  const monitor = new SilenceMonitor();
  monitor.check({ ...SILENCE, nowMs: 300 });
  monitor.check({ ...SILENCE, nowMs: 500 });
  assert.equal(monitor.isSuspect, true);
  monitor.reset();
  assert.equal(monitor.isSuspect, false);
});
