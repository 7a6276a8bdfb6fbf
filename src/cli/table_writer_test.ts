import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryPlatformClient } from "../../stand_ins/platform_memory_client.ts";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { determineOutcome, makeEdit, type TableBase } from "./table_edit.ts";
import { TableWriter } from "./table_writer.ts";

function startWriter(store = new PlatformStore()) {
  const platform = new MemoryPlatformClient(store);
  const writer = new TableWriter(platform, {
    readBacksMaxCount: 2,
    readBackPauseMs: 1,
  });
  return { platform, writer, store };
}

test("the outcome is unknown when the answer is lost and the table cannot be read", async () => {
  const { platform, writer } = startWriter();
  const put = platform.put.bind(platform);
  platform.put = (object, condition) => {
    const result = put(object, condition);
    platform.faults.down = true;
    return result;
  };
  platform.faults.loseWriteAnswersCount = 1;
  const result = await writer.write("routes", undefined, "{}");
  assert.equal(result.outcome, "unknown");
});

test("the second edit of the same version is not applied and returns the stored table", async () => {
  const { writer, store } = startWriter();
  const other = startWriter(store).writer;
  await writer.write("routes", undefined, "base");
  const [base, otherBase] = [
    await writer.read("routes"),
    await other.read("routes"),
  ];
  const [first, second] = await Promise.all([
    writer.write("routes", base, "first"),
    other.write("routes", otherBase, "second"),
  ]);
  assert.equal(first?.outcome, "applied");
  assert.equal(second?.outcome, "not-applied");
  assert.equal(second?.current?.value.text, "first");
});

/** Returns a table with further edits applied to a base. */
function afterEdits(base: TableBase, editIds: string[]): TableBase {
  return editIds.reduce<TableBase>((table, editId) => ({
    version: (table?.version ?? 0) + 1,
    value: makeEdit(table, "{}", editId),
  }), base);
}

test("the outcome is known while the recent edits reach back to the base", () => {
  const base = afterEdits(undefined, ["e1"]);
  const others = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const withoutEdit = afterEdits(base, others.slice(0, 31));
  assert.equal(determineOutcome("mine", base, withoutEdit), "not-applied");
  const withEdit = afterEdits(base, ["mine", ...others.slice(0, 31)]);
  assert.equal(determineOutcome("mine", base, withEdit), "applied");
  const overflowed = afterEdits(base, ["mine", ...others]);
  assert.equal(determineOutcome("mine", base, overflowed), "unknown");
});

test("the outcome of a lost creation depends on the number of later edits", () => {
  assert.equal(determineOutcome("mine", undefined, undefined), "not-applied");
  const early = afterEdits(undefined, ["other"]);
  assert.equal(determineOutcome("mine", undefined, early), "not-applied");
  const ids = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const late = afterEdits(undefined, ids);
  assert.equal(determineOutcome("mine", undefined, late), "unknown");
});
