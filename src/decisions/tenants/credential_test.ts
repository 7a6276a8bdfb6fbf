import assert from "node:assert/strict";
import { test } from "node:test";
import {
  bearerKey,
  type CredentialRequest,
  decideCredential,
} from "./credential.ts";
import { TenantKeys } from "./tenant_keys.ts";

const TENANTS = new TenantKeys([
  { name: "amber", keys: ["k-1", "k-2"], ratePerS: 0, burstCount: 0 },
  { name: "birch", keys: ["k-3"], priority: 2, ratePerS: 0, burstCount: 0 },
]);

function decide(changes: Partial<CredentialRequest>): string {
  const decision = decideCredential({
    tenants: TENANTS,
    key: undefined,
    isPublic: false,
    isCall: false,
    mayBeCall: false,
    hasCallId: false,
    currencyAgeMs: 0,
    revocationMaxMs: 5_000,
    ...changes,
  });
  switch (decision.kind) {
    case "tenant":
      return decision.tenant.name;
    case "refused":
      return decision.errorKind;
    default:
      return decision.kind;
  }
}

test("a key is read only from the Bearer scheme, whose name has no case", () => {
  assert.equal(bearerKey("Bearer k-1"), "k-1");
  assert.equal(bearerKey("bearer  k-1 "), "k-1");
  for (const other of [undefined, "", "Bearer", "Basic k-1", "Bearer a b"]) {
    assert.equal(bearerKey(other), undefined);
  }
});

// Guards against callers who are refused although they need no key, and against
// calls of endpoints, which have no key, that are refused with 401.
test("public routes and calls need no key, and any other request does", () => {
  assert.equal(decide({ key: "k-2" }), "amber");
  assert.equal(decide({ key: "k-9" }), "credential_unknown");
  assert.equal(decide({}), "credential_unknown");
  assert.equal(decide({ hasCallId: true }), "parent_not_running");
  assert.equal(decide({ hasCallId: true, isCall: true }), "call");
  assert.equal(decide({ isPublic: true, isCall: true }), "call");
  assert.equal(decide({ isPublic: true, key: "k-9" }), "public");
  assert.equal(decide({ key: "k-9", isCall: true }), "credential_unknown");
});

// Guards against a caller without a key who gets the tenant of a request that
// has the same deadline, and against a call that is answered 401.
test("a call that is not proven gets neither access nor a tenant, and no 401", () => {
  const mayBeCall = true;
  assert.equal(decide({ isPublic: true, mayBeCall }), "public");
  assert.equal(decide({ mayBeCall }), "parent_unproven");
  assert.equal(decide({ hasCallId: true, mayBeCall }), "parent_not_running");
  assert.equal(decide({ key: "k-9", mayBeCall }), "credential_unknown");
});

// Guards against a withdrawn key that is accepted after its bound, and against
// refusals before it.
test("keys are refused from 100 ms before the bound on; calls and public routes go on", () => {
  const old = { currencyAgeMs: 4_900 };
  assert.equal(decide({ key: "k-1", currencyAgeMs: 4_899 }), "amber");
  assert.equal(decide({ key: "k-1", ...old }), "credential_unverifiable");
  assert.equal(
    decide({ key: "k-1", currencyAgeMs: NaN }),
    "credential_unverifiable",
  );
  assert.equal(decide({ isCall: true, ...old }), "call");
  assert.equal(decide({ isPublic: true, ...old }), "public");
  assert.equal(
    decide({ key: "k-1", currencyAgeMs: Infinity, revocationMaxMs: undefined }),
    "amber",
  );
});

// Guards against a 401 for a key that other daemons already accept.
test("an unknown key is not answered 401 by a daemon whose configuration may be old", () => {
  const key = "k-new";
  assert.equal(decide({ key, currencyAgeMs: 2_500 }), "credential_unknown");
  assert.equal(
    decide({ key, currencyAgeMs: 2_501 }),
    "credential_unverifiable",
  );
});
