import assert from "node:assert/strict";
import { test } from "node:test";
import { RunningRequests } from "./running_requests.ts";
import type { ServedRequest } from "./served_request.ts";

const TENANT_HEADER = "tenant";

function createServed(
  requestId: string,
  expiresAtMs: number,
  tenantName?: string,
): ServedRequest {
  const headers = tenantName === undefined ? [] : ["Tenant", tenantName];
  return {
    requestId,
    expiresAtMs,
    sentExpiresAtMs: 0,
    request: { headers },
  } as unknown as ServedRequest;
}

// A map that retains removed keys must not hold long ids of callers.
test("requests with short and long ids are found until they are removed", () => {
  const running = new RunningRequests(TENANT_HEADER);
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
  const running = new RunningRequests(TENANT_HEADER);
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

// Guards against calls that get the tenant of another caller, who has sent a
// request with the id of the one that makes them.
test("an id that requests of different tenants have names none of them until all have ended", () => {
  const running = new RunningRequests(TENANT_HEADER);
  const first = createServed("call-1", 100, "amber");
  const other = createServed("call-1", 200, "birch");
  running.add(first);
  running.add(other);
  assert.equal(running.findById("call-1"), undefined);
  running.remove(other);
  running.add(other);
  assert.equal(running.findById("call-1"), undefined);
  running.remove(first);
  running.remove(other);
  running.add(first);
  assert.equal(running.findById("call-1"), first);

  const again = createServed("call-1", 300, "amber");
  running.add(again);
  assert.equal(running.findById("call-1"), again);
});
