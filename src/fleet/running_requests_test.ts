import assert from "node:assert/strict";
import { test } from "node:test";
import { RunningRequests } from "./running_requests.ts";
import type { ServedRequest } from "./served_request.ts";

function createServed(requestId: string, expiresAtMs: number): ServedRequest {
  return { requestId, expiresAtMs, sentExpiresAtMs: 0 } as ServedRequest;
}

// A map that retains removed keys must not hold long ids of callers.
test("requests with short and long ids are found until they are removed", () => {
  const running = new RunningRequests();
  const short = createServed("call-1", 100);
  const long = createServed("x".repeat(4_096), 200);
  running.add(short);
  running.add(long);
  assert.equal(running.findById(short.requestId), short);
  assert.equal(running.findById(long.requestId), long);
  assert.equal(running.findByExpiry(201), long);
  running.remove(short);
  running.remove(long);
  assert.equal(running.findById(short.requestId), undefined);
  assert.equal(running.findById(long.requestId), undefined);
  assert.equal(running.findByExpiry(201), undefined);
});

// Guards against calls that are not recognized because they were under way for
// some milliseconds.
test("a deadline matches the nearest request that ends up to 10 ms earlier or 2 ms later", () => {
  const running = new RunningRequests();
  const first = createServed("call-1", 100);
  const second = createServed("call-2", 106);
  running.add(first);
  running.add(second);
  assert.equal(running.findByExpiry(97), undefined);
  assert.equal(running.findByExpiry(98), first);
  assert.equal(running.findByExpiry(102), first);
  assert.equal(running.findByExpiry(104), second);
  assert.equal(running.findByExpiry(116), second);
  assert.equal(running.findByExpiry(117), undefined);
});
