/** Builds edits of a stored table and determines their outcome. */
import {
  RECENT_EDIT_IDS_MAX,
  type StoredTable,
} from "../schemas/config_schema.ts";

/** A stored table with its version; undefined when it is not stored yet. */
export type TableBase = {
  readonly version: number;
  readonly value: StoredTable;
} | undefined;

/** Whether an edit was applied, as far as is known. */
export type EditOutcome = "applied" | "not-applied" | "unknown";

/**
 * Builds the value that an edit stores.
 *
 * @param base Table before the edit.
 * @param text New text.
 * @param editId Unique id of the edit.
 * @returns Value whose list of recent edits starts with this edit.
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
 * Determines from the table that is stored now whether an edit was applied whose
 * answer was lost.
 *
 * @param editId Id of the edit.
 * @param base Table before the edit.
 * @param current Table that was read after the write.
 * @returns `applied` when the recent edits of the table include the edit;
 * `not-applied` when the table is still the base, or when its recent edits
 * reach back to the base without this edit; `unknown` when they no longer reach
 * back to the base.
 *
 * @example
 * judgeReadBack("e2", base, base); // "not-applied"
 */
export function determineOutcome(
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
