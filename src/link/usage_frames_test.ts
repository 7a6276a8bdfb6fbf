import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  CapAsk,
  CapGrant,
  CapHeld,
} from "../decisions/caps/cap_messages.ts";
import { FRAME } from "../schemas/link_schema.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import {
  decodeUsageAsk,
  decodeUsageGrant,
  decodeUsageHeld,
  encodeUsageAsk,
  encodeUsageGrant,
  encodeUsageHeld,
} from "./usage_frames.ts";

const ASK: CapAsk = {
  processId: 0xfffffff0,
  sequence: 7,
  sentAtMs: 1_234,
  membersCount: 65,
  listNumber: 3,
  leasedTenants: ["amber", "birch"],
  tenants: [{
    tenantName: "amber",
    waitingCount: 2,
    prefetchCount: 5,
    returnedCount: 1,
    carriedCount: 0.25,
  }],
};
const GRANT: CapGrant = {
  processId: 0xfffffff0,
  sequence: 7,
  listNumber: -1,
  tenants: [{
    tenantName: "amber",
    grantedCount: 3,
    deniedCount: 1,
    roomInMs: 250,
    carriedCount: 1.5,
  }],
};

/** Sends a frame through the codec of the links. */
function transfer(frame: readonly unknown[]): unknown[] {
  const received: unknown[][] = [];
  new FrameReader().push(encodeFrame(frame), (next) => received.push(next));
  return received[0] as unknown[];
}

test("messages about usage caps arrive as they were sent", () => {
  assert.deepEqual(decodeUsageAsk(transfer(encodeUsageAsk(ASK))), ASK);
  const renewal = { ...ASK, leasedTenants: undefined, tenants: [] };
  assert.deepEqual(decodeUsageAsk(transfer(encodeUsageAsk(renewal))), renewal);
  assert.deepEqual(decodeUsageGrant(transfer(encodeUsageGrant(GRANT))), GRANT);
  const held: CapHeld = {
    processId: 0xfffffff0,
    sequence: 3,
    tenants: [{ tenantName: "amber", heldCount: 4 }],
  };
  assert.deepEqual(decodeUsageHeld(transfer(encodeUsageHeld(held))), held);
});

// Guards against parts of tokens that add up to more than was granted.
test("parts of tokens are rounded down", () => {
  const [tenant] = ASK.tenants;
  const ask = { ...ASK, tenants: [{ ...tenant!, carriedCount: 0.999 }] };
  const received = decodeUsageAsk(transfer(encodeUsageAsk(ask)));
  assert.equal(received.tenants[0]?.carriedCount, 0.99);
});

test("a message with a negative count is not accepted", () => {
  const frame = encodeUsageAsk(ASK).slice(0, 7);
  const bad = [...frame, [["amber", 0, 0, -5, 0]]];
  assert.throws(() => decodeUsageAsk(bad));
});

test("the kinds of frames are those that peers of this version know", () => {
  const { usageAsk, usageGrant, usageHeld, runQuery, running } = FRAME;
  assert.deepEqual([usageAsk, usageGrant, usageHeld], [16, 17, 18]);
  assert.deepEqual([runQuery, running], [21, 22]);
});
