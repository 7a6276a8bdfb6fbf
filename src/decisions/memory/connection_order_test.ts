import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseClosed, PIPELINED_MAX_COUNT } from "./connection_order.ts";

const NOW_MS = 10_000;

function connection(
  name: string,
  { receivingBytes, idleMs = 0, forwardedCount = 0 }: {
    receivingBytes?: number;
    idleMs?: number;
    forwardedCount?: number;
  },
) {
  return { name, receivingBytes, forwardedCount, usedAtMs: NOW_MS - idleMs };
}

// Guards against callers that leave no descriptor for others.
test("stalled bodies are closed first, then idle connections, then large bodies", () => {
  const connections = [
    connection("small", { receivingBytes: 1 }),
    connection("large", { receivingBytes: 2 }),
    connection("idle", { idleMs: 500 }),
    connection("idle for longer", { idleMs: 5_000 }),
    connection("stalled", { receivingBytes: 1, idleMs: 2_000 }),
  ];
  const closed = chooseClosed(connections, { count: 9, nowMs: NOW_MS });
  assert.deepEqual(closed.map(({ name }) => name), [
    "stalled",
    "idle for longer",
    "idle",
    "large",
    "small",
  ]);
});

// Guards against callers whose many requests in a row keep all connections.
test("a connection with many forwarded requests is closed after all others", () => {
  const connections = [
    connection("many", { forwardedCount: PIPELINED_MAX_COUNT }),
    connection("more", { forwardedCount: PIPELINED_MAX_COUNT + 1 }),
    connection("some", { forwardedCount: PIPELINED_MAX_COUNT - 1 }),
    connection("receiving", { receivingBytes: 1 }),
  ];
  const closed = chooseClosed(connections, { count: 9, nowMs: NOW_MS });
  assert.deepEqual(
    closed.map(({ name }) => name),
    ["receiving", "more", "many"],
  );
});

// Guards against requests that may have run and get no answer.
test("a connection with a forwarded request is never closed", () => {
  const connections = [
    connection("running", { forwardedCount: 1, idleMs: 60_000 }),
    connection("running and receiving", {
      forwardedCount: 1,
      receivingBytes: 9,
    }),
  ];
  assert.deepEqual(chooseClosed(connections, { count: 2, nowMs: NOW_MS }), []);
});
