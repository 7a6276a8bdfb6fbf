import assert from "node:assert/strict";
import { test } from "node:test";
import { CallObserver } from "./call_observer.ts";

function observeSuccess(
  observer: CallObserver,
  routeName: string,
  calledRouteNames: string[],
) {
  observer.recordRun(routeName, { calledRouteNames, isSuccessful: true });
}

test("calls are counted per run, and rare ones are dropped as wrongly attributed", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 20; index++) {
    observeSuccess(observer, "read", ["tally", "tally"]);
  }
  observeSuccess(observer, "read", ["tally", "tally", "stray"]);
  assert.deepEqual(observer.edges(), [["read", "tally", 2]]);
});

// After a restart under load, no run may succeed until requests are refused for
// the pools that they call, which needs the calls.
test("calls are known although no run has succeeded", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 8; index++) {
    const calledRouteNames = index === 0 ? [] : ["tally"];
    observer.recordRun("read", { calledRouteNames, isSuccessful: false });
  }
  assert.deepEqual(observer.edges(), [["read", "tally", 1]]);
});

test("failed runs do not lower the calls per successful run", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 20; index++) {
    observeSuccess(observer, "read", ["tally", "tally"]);
    observer.recordRun("read", { calledRouteNames: [], isSuccessful: false });
  }
  assert.deepEqual(observer.edges(), [["read", "tally", 2]]);
});

// A daemon that is short of processor time receives calls late, so that their
// deadlines match those of few running requests. If the edge were withdrawn, the
// calls would be refused at the entry as requests of callers.
test("an edge stays while only a part of the calls is attributed", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 20; index++) {
    observeSuccess(observer, "index", ["stock", "stock", "stock", "stock"]);
  }
  for (let index = 0; index < 4_000; index++) {
    observeSuccess(observer, "index", index % 4 === 0 ? ["stock"] : []);
    observer.edges();
  }
  assert.deepEqual(observer.edges(), [["index", "stock", 1]]);
  for (let index = 0; index < 4_000; index++) {
    observeSuccess(observer, "index", []);
    observer.edges();
  }
  assert.deepEqual(observer.edges(), []);
});

// Guards against edges and called routes that are learned from requests of
// callers, which have the deadline of a running request by chance.
test("routes whose requests match runs as often by chance are not called", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 400; index++) {
    observer.recordRun("read", {
      calledRouteNames: ["votes", "tally"],
      chanceRouteNames: index % 4 === 0 ? ["votes"] : ["votes", "tally"],
      isSuccessful: true,
    });
    observer.recordReceived("votes", {
      hasParent: true,
      hasChanceParent: true,
    });
    observer.recordReceived("tally", {
      hasParent: true,
      hasChanceParent: index % 2 === 0,
    });
  }
  assert.deepEqual(observer.edges(), []);
  assert.equal(observer.isCalled("votes"), false);
  assert.equal(observer.isCalled("tally"), true);
});

test("a route is called when most of its requests have a parent, and stays so while some have", () => {
  const observer = new CallObserver();
  const receive = (routeName: string, parentEvery: number) => {
    for (let index = 0; index < 200; index++) {
      observer.recordReceived(routeName, {
        hasParent: index % parentEvery === 0,
        hasChanceParent: false,
      });
    }
  };
  receive("enrol", 4);
  assert.equal(observer.isCalled("enrol"), false);
  receive("stock", 1);
  assert.equal(observer.isCalled("stock"), true);
  receive("stock", 5);
  assert.equal(observer.isCalled("stock"), true);
  receive("stock", 1_000);
  assert.equal(observer.isCalled("stock"), false);
});
