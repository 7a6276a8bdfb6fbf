import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryPlatformClient } from "../../stand_ins/platform_memory_client.ts";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { TableClient } from "./table_client.ts";
import {
  createStoredTable,
  determineOutcome,
  type VersionedTable,
} from "./table_edit.ts";

function createTableClient(store = new PlatformStore()) {
  const platform = new MemoryPlatformClient(store);
  const client = new TableClient(platform, {
    readBacksMaxCount: 2,
    readBackPauseMs: 1,
  });
  return { platform, client, store };
}

test("the outcome is unknown when the answer to a write is lost and the table cannot be read", async () => {
  const { platform, client } = createTableClient();
  const put = platform.put.bind(platform);
  platform.put = (object, condition) => {
    const result = put(object, condition);
    platform.faults.down = true;
    return result;
  };
  platform.faults.loseWriteAnswersCount = 1;
  const result = await client.write("routes", undefined, "{}");
  assert.equal(result.outcome, "unknown");
});

test("of two edits of the same version, the second is not applied and its result has the first", async () => {
  const { client, store } = createTableClient();
  const other = createTableClient(store).client;
  await client.write("routes", undefined, "base");
  const [base, otherBase] = [
    await client.read("routes"),
    await other.read("routes"),
  ];
  const [first, second] = await Promise.all([
    client.write("routes", base, "first"),
    other.write("routes", otherBase, "second"),
  ]);
  assert.equal(first?.outcome, "applied");
  assert.equal(second?.outcome, "not-applied");
  assert.equal(second?.current?.value.text, "first");
});

/** Returns a table with further edits applied to a base. */
function afterEdits(
  base: VersionedTable | undefined,
  editIds: string[],
): VersionedTable | undefined {
  return editIds.reduce<VersionedTable | undefined>((table, editId) => ({
    version: (table?.version ?? 0) + 1,
    value: createStoredTable(table, "{}", editId),
  }), base);
}

test("the outcome is known as long as the stored edit ids include all edits since the base", () => {
  const base = afterEdits(undefined, ["e1"]);
  const others = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const withoutEdit = afterEdits(base, others.slice(0, 31));
  assert.equal(determineOutcome("mine", base, withoutEdit), "not-applied");
  const withEdit = afterEdits(base, ["mine", ...others.slice(0, 31)]);
  assert.equal(determineOutcome("mine", base, withEdit), "applied");
  const overflowed = afterEdits(base, ["mine", ...others]);
  assert.equal(determineOutcome("mine", base, overflowed), "unknown");
});

test("if the answer to a first write is lost, the outcome is known while there are few edits", () => {
  assert.equal(determineOutcome("mine", undefined, undefined), "not-applied");
  const early = afterEdits(undefined, ["other"]);
  assert.equal(determineOutcome("mine", undefined, early), "not-applied");
  const ids = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const late = afterEdits(undefined, ids);
  assert.equal(determineOutcome("mine", undefined, late), "unknown");
});
