import assert from "node:assert/strict";
import { test } from "node:test";
import {
  probeRequestSchema,
  pushRequestSchema,
} from "../schemas/member_schema.ts";
import { packBody, unpackBody } from "./envelope.ts";

const held = { state: "alive", sequence: 3, incarnationEpochMs: 5 } as const;
const update = {
  instanceId: "a",
  dataCentre: "dc-a",
  ...held,
  peerHost: "10.0.0.1",
  peerPort: 1,
  hopHost: "10.0.0.1",
  hopPort: 2,
  pool: "plates",
  slotsCount: 1,
  connectionsMaxCount: 1,
};

// Guards against field names in the messages that each daemon sends each
// second; the order of the fields must not matter.
test("a probe is packed without field names", () => {
  const bytes = packBody({ digest: 7, held }, probeRequestSchema);
  assert.doesNotMatch(Buffer.from(bytes).toString("latin1"), /digest|sequence/);
  assert.deepEqual(unpackBody(bytes, probeRequestSchema), { digest: 7, held });
});

// Guards against a packer that numbers further shapes by itself, which a peer
// that has not seen the earlier messages cannot decode.
test("records of other shapes carry their names in every message", () => {
  const updates = [{ ...update, suspectedBy: "b" }, update];
  const request = { updates, isRepair: false };
  const first = packBody(request, pushRequestSchema);
  const second = packBody(request, pushRequestSchema);
  assert.deepEqual(second, first);
  assert.match(Buffer.from(second).toString("latin1"), /suspectedBy/);
  assert.deepEqual(unpackBody(second, pushRequestSchema), request);
});
