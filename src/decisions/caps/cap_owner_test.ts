import assert from "node:assert/strict";
import { test } from "node:test";
import type { CapAsk, TenantAsk } from "./cap_messages.ts";
import { CapOwner } from "./cap_owner.ts";

const CAPS = new Map([
  ["t", { ratePerS: 100, burstCount: 90, windowMs: 5_000 }],
]);
const FILLED_AT_MS = 900;

function createAsk(
  sequence: number,
  tenant: Partial<TenantAsk> = {},
  changes: Partial<CapAsk> = {},
): CapAsk {
  return {
    processId: 1,
    sequence,
    sentAtMs: sequence === 1 ? 0 : FILLED_AT_MS,
    membersCount: 1,
    listNumber: 1,
    leasedTenants: ["t"],
    tenants: [{
      tenantName: "t",
      waitingCount: 0,
      prefetchCount: 0,
      returnedCount: 0,
      carriedCount: 0,
      ...tenant,
    }],
    ...changes,
  };
}

/** Owner with one member, whose lease has earned 90 tokens. */
function createOwner(): CapOwner {
  const owner = new CapOwner();
  owner.tick(1, 0);
  owner.applyCaps(CAPS, 0);
  owner.handle("m", createAsk(1), 0);
  return owner;
}

function grantedOf(owner: CapOwner, ask: CapAsk, nowMs = FILLED_AT_MS): number {
  return owner.handle("m", ask, nowMs)?.tenants[0]?.grantedCount ?? -1;
}

test("a duplicate of an ask is granted nothing", () => {
  const owner = createOwner();
  const ask = createAsk(2, { waitingCount: 5 });
  assert.equal(grantedOf(owner, ask), 5);
  assert.equal(grantedOf(owner, ask), -1);
});

test("an ask that was overtaken is granted", () => {
  const owner = createOwner();
  assert.equal(grantedOf(owner, createAsk(3, { waitingCount: 5 })), 5);
  assert.equal(grantedOf(owner, createAsk(2, { waitingCount: 4 })), 4);
});

test("a late message of a member's former process is ignored", () => {
  const owner = createOwner();
  const restarted = createAsk(1, { waitingCount: 1 }, { processId: 2 });
  assert.equal(grantedOf(owner, restarted), 1);
  assert.equal(grantedOf(owner, createAsk(9, { waitingCount: 5 })), -1);
});

test("returned tokens are credited once, and not long after they were sent", () => {
  const owner = createOwner();
  assert.equal(grantedOf(owner, createAsk(2, { waitingCount: 90 })), 90);
  const returned = createAsk(3, { returnedCount: 20 });
  owner.handle("m", returned, FILLED_AT_MS);
  owner.handle("m", returned, FILLED_AT_MS);
  const late = createAsk(4, { returnedCount: 20 }, { sentAtMs: -5_000 });
  owner.handle("m", late, FILLED_AT_MS);
  assert.equal(grantedOf(owner, createAsk(5, { waitingCount: 90 })), 20);
});

test("an owner earns nothing for a member whose lease has ended", () => {
  const owner = createOwner();
  owner.tick(1, 1_000);
  assert.equal(owner.ownedCount, 0);
});

// A daemon that has just started knows few members and would take too much.
test("the rate is divided by the largest number of members that is known", () => {
  const owner = createOwner();
  owner.handle("m", createAsk(2, {}, { membersCount: 10 }), 0);
  assert.equal(grantedOf(owner, createAsk(3, { waitingCount: 90 })), 9);
});

test("a member that leaves takes its part of the tokens along", () => {
  const owner = createOwner();
  const leaving = createAsk(2, {}, { listNumber: 2, leasedTenants: [] });
  const grant = owner.handle("m", leaving, FILLED_AT_MS);
  assert.equal(grant?.listNumber, 2);
  assert.equal(grant?.tenants[0]?.carriedCount, 90);
  assert.equal(owner.ownedCount, 0);
});

test("a list that the owner does not know is asked for", () => {
  const owner = createOwner();
  owner.tick(1, 5_000);
  const renewal = createAsk(2, {}, { leasedTenants: undefined });
  assert.equal(owner.handle("m", renewal, 5_000)?.listNumber, -1);
});
