import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryPlatformClient } from "../../stand_ins/platform_memory_client.ts";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { judgeReadBack, makeEdit, type TableBase } from "./table_edit.ts";
import { TableWriter } from "./table_writer.ts";

function startWriter(store = new PlatformStore()) {
  const platform = new MemoryPlatformClient(store);
  const writer = new TableWriter(platform, {
    readBacksMaxCount: 2,
    readBackPauseMs: 1,
  });
  return { platform, writer, store };
}

test("an edit whose answer is lost and cannot be read back is unknown", async () => {
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

test("of two operators who edit the same version one gets the other's table", async () => {
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
  assert.equal(second?.winner?.value.text, "first");
});

/** The table after a base and further edits. */
function afterEdits(base: TableBase, editIds: string[]): TableBase {
  return editIds.reduce<TableBase>((table, editId) => ({
    version: (table?.version ?? 0) + 1,
    value: makeEdit(table, "{}", editId),
  }), base);
}

test("a third edit leaves the outcome decidable while the list reaches back", () => {
  const base = afterEdits(undefined, ["e1"]);
  const others = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const lost = afterEdits(base, others.slice(0, 31));
  assert.equal(judgeReadBack("mine", base, lost), "not-applied");
  const won = afterEdits(base, ["mine", ...others.slice(0, 31)]);
  assert.equal(judgeReadBack("mine", base, won), "applied");
  const forgotten = afterEdits(base, ["mine", ...others]);
  assert.equal(judgeReadBack("mine", base, forgotten), "unknown");
});

test("a lost creation is judged by the number of later edits", () => {
  assert.equal(judgeReadBack("mine", undefined, undefined), "not-applied");
  const early = afterEdits(undefined, ["other"]);
  assert.equal(judgeReadBack("mine", undefined, early), "not-applied");
  const ids = Array.from({ length: 40 }, (_, index) => `other${index}`);
  const late = afterEdits(undefined, ids);
  assert.equal(judgeReadBack("mine", undefined, late), "unknown");
});
