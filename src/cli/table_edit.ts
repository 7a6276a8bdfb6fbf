/** Creates the stored value of an edited table and determines an edit's outcome. */
import {
  RECENT_EDIT_IDS_MAX,
  type StoredTable,
} from "../schemas/config_schema.ts";

/** A stored table with its version. */
export type VersionedTable = {
  readonly version: number;
  readonly value: StoredTable;
};

/** Whether an edit was applied, as far as is known. */
export type EditOutcome = "applied" | "not-applied" | "unknown";

/**
 * Creates the value that an edit stores.
 *
 * @param base Table before the edit; undefined when it is not stored yet.
 * @param text New text.
 * @param editId Unique id of the edit.
 * @returns Value whose list of recent edits starts with this edit.
 */
export function createStoredTable(
  base: VersionedTable | undefined,
  text: string,
  editId: string,
): StoredTable {
  const earlier = base?.value.recentEditIds ?? [];
  const recentEditIds = [editId, ...earlier].slice(0, RECENT_EDIT_IDS_MAX);
  return { editId, recentEditIds, text };
}

/**
 * Determines whether an edit was applied whose answer was lost. A stored table
 * has the ids of its latest {@link RECENT_EDIT_IDS_MAX} edits.
 *
 * @param editId Id of the edit.
 * @param base Table before the edit; undefined when it was not stored.
 * @param current Table read after the write; undefined when it is not stored.
 * @returns `applied` when the ids include the edit; `not-applied` when the table
 * did not change, or when the ids include all edits since the base and this edit
 * is not among them; `unknown` when so many edits followed the base that the ids
 * no longer include all of them.
 *
 * @example
 * determineOutcome("e2", base, base); // "not-applied"
 */
export function determineOutcome(
  editId: string,
  base: VersionedTable | undefined,
  current: VersionedTable | undefined,
): EditOutcome {
  if (current?.value.recentEditIds.includes(editId)) {
    return "applied";
  }
  if (current === undefined || current.version === base?.version) {
    return "not-applied";
  }
  const { recentEditIds } = current.value;
  const includesEditsSinceBase = base === undefined
    ? current.version < RECENT_EDIT_IDS_MAX
    : recentEditIds.includes(base.value.editId);
  return includesEditsSinceBase ? "not-applied" : "unknown";
}
