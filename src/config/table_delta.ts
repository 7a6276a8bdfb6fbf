/** Differences between two pairs of tables. */
import { isDeepStrictEqual } from "node:util";
import type { TableEntry, TablesDelta } from "../schemas/config_schema.ts";
import { entryKey, type TableEntries } from "./table_entries.ts";

function isEqualEntry(
  before: TableEntry | undefined,
  after: TableEntry,
): boolean {
  return before === after ||
    before !== undefined && isDeepStrictEqual(before.value, after.value);
}

/**
 * Replaces entries by equal ones of an earlier pair, so that their cached
 * digests are used and later comparisons are by identity.
 *
 * @param before Entries of the earlier pair.
 * @param after Newly parsed entries.
 * @returns Entries equal to `after`, in its order.
 */
export function reuseEntries(
  before: TableEntries,
  after: TableEntries,
): TableEntries {
  return new Map(
    [...after].map(([key, entry]) => {
      const earlier = before.get(key);
      const equal = earlier !== undefined && isEqualEntry(earlier, entry);
      return [key, equal ? earlier : entry];
    }),
  );
}

/**
 * Computes the difference between two pairs of tables.
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
 * @param before Entries before the change; not modified.
 * @param delta Entries to set and keys to remove.
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
