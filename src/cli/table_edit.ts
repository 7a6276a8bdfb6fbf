/** Pure rules of edits of a stored table. */
import {
  RECENT_EDIT_IDS_MAX,
  type StoredTable,
} from "../schemas/config_schema.ts";

/** A stored table with its version; undefined when the table is new. */
export type TableBase = {
  readonly version: number;
  readonly value: StoredTable;
} | undefined;

/** What is known about an edit. */
export type EditOutcome = "applied" | "not-applied" | "unknown";

/**
 * Builds the value that an edit stores.
 *
 * @param base Table before the edit.
 * @param text New text.
 * @param editId Unique id of the edit.
 * @returns Value with the id of the edit in front of the recent ones.
 */
export function makeEdit(
  base: TableBase,
  text: string,
  editId: string,
): StoredTable {
  const earlier = base?.value.recentEditIds ?? [];
  const recentEditIds = [editId, ...earlier].slice(0, RECENT_EDIT_IDS_MAX);
  return { editId, recentEditIds, text };
}

/**
 * Judges an edit whose answer was lost by the table that is stored now.
 *
 * @param editId Id of the edit.
 * @param base Table that the edit replaces.
 * @param current Table that was read back.
 * @returns Applied when the table names the edit. Not applied when the table is
 * still the base, or when its list of recent edits reaches back to the base
 * without the edit. Unknown otherwise.
 *
 * @example
 * judgeReadBack("e2", base, base); // "not-applied"
 */
export function judgeReadBack(
  editId: string,
  base: TableBase,
  current: TableBase,
): EditOutcome {
  if (current?.value.recentEditIds.includes(editId)) {
    return "applied";
  }
  if (current === undefined || current.version === base?.version) {
    return "not-applied";
  }
  const { recentEditIds } = current.value;
  const reachesBase = base === undefined
    ? current.version < RECENT_EDIT_IDS_MAX
    : recentEditIds.includes(base.value.editId);
  return reachesBase ? "not-applied" : "unknown";
}
