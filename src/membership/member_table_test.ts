import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberTable } from "./member_table.ts";
import { isSameShard } from "./shard_content.ts";

const member = {
  instanceId: "a",
  dataCentre: "dc-a",
  incarnationEpochMs: 1,
  sequence: 0,
  peerHost: "10.0.0.1",
  peerPort: 1,
  hopHost: "10.0.0.1",
  hopPort: 2,
  pool: "",
  slotsCount: 0,
  connectionsMaxCount: 0,
};
const operators = [
  {},
  { operatorHost: "10.0.0.1", operatorPort: 3 },
  { operatorHost: "10.9.9.9", operatorPort: 3 },
  { operatorHost: "fd00::1", operatorPort: 3 },
];

// Guards against a command-line tool that connects to another host than the one
// that the member announced for operators.
test("a row stores the operator listener and its changes", () => {
  const table = new MemberTable();
  const row = table.add(member, 0);
  for (const operator of operators) {
    const record = { ...member, ...operator };
    table.write(row, record);
    assert.deepEqual(table.read(row), record);
  }
});

test("two contents of a shard differ when only one has an operator listener", () => {
  const { sequence: _sequence, ...stored } = member;
  const gained = { ...stored, ...operators[1] };
  assert.equal(isSameShard([stored], [gained]), false);
  assert.equal(isSameShard([gained], [stored]), false);
});
