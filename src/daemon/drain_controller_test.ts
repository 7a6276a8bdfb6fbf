import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
  DRAIN_MIN_MS,
  DrainController,
  type DrainHost,
} from "./drain_controller.ts";

class StubHost implements DrainHost {
  readonly calls: string[] = [];
  timeMs = 0;
  openRequestsCount = 0;
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
    return this.openRequestsCount;
  }
  nowMs(): number {
    return this.timeMs;
  }
}

const drains: DrainController[] = [];

function startDrain() {
  const host = new StubHost();
  const drain = new DrainController(host);
  drains.push(drain);
  drain.handle("start");
  return { host, drain };
}

afterEach(() => drains.splice(0).forEach((drain) => drain.close()));

test("the drain of an idle daemon lasts the time that peers need to be informed of it", () => {
  const { host, drain } = startDrain();
  host.timeMs = DRAIN_MIN_MS - 1;
  drain.handle("check");
  assert.equal(drain.state, "draining");
  host.timeMs = DRAIN_MIN_MS;
  drain.handle("check");
  assert.deepEqual(host.calls, ["refuse", "leaving", "drained"]);
});

test("a drain does not end while a request is open", () => {
  const { host, drain } = startDrain();
  host.openRequestsCount = 1;
  host.timeMs = 10 * DRAIN_MIN_MS;
  drain.handle("check");
  assert.equal(drain.state, "draining");
  host.openRequestsCount = 0;
  drain.handle("check");
  assert.equal(drain.state, "drained");
});

test("a cancelled drain accepts work again, and the next drain lasts its full minimum", () => {
  const { host, drain } = startDrain();
  host.timeMs = DRAIN_MIN_MS;
  drain.handle("cancel");
  assert.equal(drain.isServing, true);
  drain.handle("start");
  drain.handle("check");
  assert.equal(drain.state, "draining");
  assert.deepEqual(host.calls.slice(2, 4), ["accept", "serving"]);
});
