import assert from "node:assert/strict";
import { test } from "node:test";
import { CallGraph, CallObserver } from "./call_graph.ts";

test("calls are counted per run, and rare ones are dropped as wrongly attributed", () => {
  const observer = new CallObserver();
  for (let index = 0; index < 20; index++) {
    observer.recordRun("read", ["tally", "tally"]);
  }
  observer.recordRun("read", ["tally", "tally", "stray"]);
  assert.deepEqual(observer.edges(), [["read", "tally", 2]]);
});

test("runs multiply along a chain of calls, and the computation terminates for a cycle", () => {
  const graph = new CallGraph();
  graph.update("one", [["read", "tally", 2]]);
  graph.update("two", [["tally", "index", 1], ["index", "roster", 4]]);
  const runs = graph.runsByRoute("read");
  assert.equal(runs.get("roster"), 8);
  assert.equal(graph.isCalled("roster"), true);
  assert.equal(graph.isCalled("read"), false);
  graph.update("three", [["roster", "tally", 0.1]]);
  assert.ok(graph.runsByRoute("read").size > 0);
});
