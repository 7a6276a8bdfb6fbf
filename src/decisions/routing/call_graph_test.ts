import assert from "node:assert/strict";
import { test } from "node:test";
import { CallGraph } from "./call_graph.ts";

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

test("runs add up where chains of calls meet, and follow a change of the calls", () => {
  const graph = new CallGraph();
  graph.update("one", [["read", "tally", 2], ["read", "roster", 3]]);
  graph.update("two", [["tally", "index", 1], ["index", "roster", 4]]);
  const runs = graph.runsByRoute("read");
  assert.equal(runs.get("roster"), 2 * 4 + 3);
  assert.equal(graph.totalRunsOf("read"), 1 + 2 + 2 + 11);
  assert.equal(graph.isCalled("roster"), true);
  assert.equal(graph.isCalled("read"), false);
  assert.equal(graph.calls("read", "roster"), true);
  assert.equal(graph.calls("roster", "read"), false);
  graph.update("two", [["tally", "index", 1]]);
  assert.equal(graph.runsByRoute("read").get("roster"), 3);
});

// Guards against a daemon that follows each of 2^24 paths, ten times a second,
// and against run counts that forbid all retries.
test("a call that leads back to a route of its chain is counted and not followed", () => {
  const graph = new CallGraph();
  graph.update("one", [
    ["read", "read", 1],
    ["read", "tally", 1],
    ["tally", "read", 1],
    ["tally", "tally", 1],
  ]);
  assert.deepEqual(
    graph.runsByRoute("read"),
    new Map([["read", 3], ["tally", 2]]),
  );
});

test("the runs of many routes that all call each other are computed", () => {
  const names = Array.from({ length: 60 }, (_, index) => `r-${index}`);
  const graph = new CallGraph();
  for (const name of names) {
    graph.update(name, names.map((called) => [name, called, 1]));
  }
  assert.equal(graph.runsByRoute("r-0").size, names.length);
  assert.ok(graph.totalRunsOf("r-0") <= 1e6 * names.length ** 2);
});
