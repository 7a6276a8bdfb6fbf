import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  DRAIN_LINGER_MS,
  DrainController,
  type DrainHost,
} from "./drain_controller.ts";

class FakeHost implements DrainHost {
  readonly calls: string[] = [];
  timeMs = 0;
  openedCount = 0;
  refuseNewWork(): void {
    this.calls.push("refuse");
  }
  acceptNewWork(): void {
    this.calls.push("accept");
  }
  notifyLeaving(): void {
    this.calls.push("leaving");
  }
  notifyServing(): void {
    this.calls.push("serving");
  }
  notifyDrained(): void {
    this.calls.push("drained");
  }
  openCount(): number {
    return this.openedCount;
  }
  nowMs(): number {
    return this.timeMs;
  }
}

const running: DrainController[] = [];

function startDrain() {
  const host = new FakeHost();
  const drain = new DrainController(host);
  running.push(drain);
  drain.handle("start");
  return { host, drain };
}

afterEach(() => running.splice(0).forEach((drain) => drain.close()));

test("an idle daemon still answers for the time that peers need to learn of the drain", () => {
  const { host, drain } = startDrain();
  host.timeMs = DRAIN_LINGER_MS - 1;
  drain.handle("check");
  assert.equal(drain.state, "draining");
  host.timeMs = DRAIN_LINGER_MS;
  drain.handle("check");
  assert.deepEqual(host.calls, ["refuse", "leaving", "drained"]);
});

test("open work keeps the drain going however long it takes", () => {
  const { host, drain } = startDrain();
  host.openedCount = 1;
  host.timeMs = 10 * DRAIN_LINGER_MS;
  drain.handle("check");
  assert.equal(drain.state, "draining");
  host.openedCount = 0;
  drain.handle("check");
  assert.equal(drain.state, "drained");
});

test("a cancelled drain serves again, and a later one lingers anew", () => {
  const { host, drain } = startDrain();
  host.timeMs = DRAIN_LINGER_MS;
  drain.handle("cancel");
  assert.equal(drain.isServing, true);
  drain.handle("start");
  drain.handle("check");
  assert.equal(drain.state, "draining");
  assert.deepEqual(host.calls.slice(2, 4), ["accept", "serving"]);
});
