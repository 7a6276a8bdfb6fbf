/** Differences between two pairs of tables. */
import type { TableEntry, TablesDelta } from "../schemas/config_schema.ts";
import { canonicalJson } from "./table_digest.ts";
import { entryKey, type TableEntries } from "./table_entries.ts";

function isEqualEntry(before: TableEntry | undefined, after: TableEntry) {
  return before === after || before !== undefined &&
      canonicalJson(before.value) === canonicalJson(after.value);
}

/**
 * Computes the entries that differ.
 *
 * @param before Entries before the change.
 * @param after Entries after the change.
 * @returns Delta that turns `before` into `after`.
 */
export function computeDelta(
  before: TableEntries,
  after: TableEntries,
): TablesDelta {
  const puts = [...after]
    .filter(([key, entry]) => !isEqualEntry(before.get(key), entry))
    .map(([, entry]) => entry);
  const removals = [...before.keys()].filter((key) => !after.has(key));
  return { puts, removals };
}

/**
 * Applies a delta.
 *
 * @param before Entries before the change; not changed.
 * @param delta Delta.
 * @returns Entries after the change; unchanged entries are shared.
 *
 * @example
 * applyDelta(before, computeDelta(before, after)); // equal to `after`
 */
export function applyDelta(
  before: TableEntries,
  delta: TablesDelta,
): TableEntries {
  const after = new Map(before);
  delta.removals.forEach((key) => after.delete(key));
  delta.puts.forEach((entry) => after.set(entryKey(entry), entry));
  return after;
}
