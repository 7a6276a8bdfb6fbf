/** Validates the new texts of the tables, orders their writes and formats diffs. */
import { createTwoFilesPatch } from "diff";
import {
  checkPair,
  checkStoredSize,
  checkTables,
  type TableTexts,
} from "../config/pair_checker.ts";
import { InputError, type InputMistake } from "../errors/input_error.ts";
import {
  TABLE_NAMES,
  TABLE_SCHEMAS,
  type TableMistake,
  type TableName,
} from "../schemas/config_schema.ts";
import { locateJsonc } from "../schemas/locate_jsonc.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import type { Tables } from "../schemas/tables_schema.ts";
import { createStoredTable, type VersionedTable } from "./table_edit.ts";

/** Both tables as read before an edit; undefined for a table not stored yet. */
export type BaseTables = Record<TableName, VersionedTable | undefined>;

/** Names of the files or stored tables that the texts come from, for messages. */
export type TableSources = Record<TableName, string>;

/** Texts used for tables that are not stored yet. */
const EMPTY_TEXTS: TableTexts = {
  routes: '{ "routes": {} }',
  pools: '{ "pools": {} }',
};

/** Has the length of every edit id, so that the size check needs no real one. */
const EDIT_ID_PLACEHOLDER = "00000000-0000-7000-8000-000000000000";

/**
 * Returns the texts of the stored tables.
 *
 * @param bases Stored tables.
 * @returns Texts; for a table that is not stored yet, the text of an empty one.
 */
export function textsOf(bases: BaseTables): TableTexts {
  return {
    routes: bases.routes?.value.text ?? EMPTY_TEXTS.routes,
    pools: bases.pools?.value.text ?? EMPTY_TEXTS.pools,
  };
}

function throwMistakes(
  mistakes: TableMistake[],
  texts: TableTexts,
  sources: TableSources,
): never {
  throw new InputError(mistakes.map(({ table, entry, field, reason }) => {
    const path = [entry, field].filter((part) => part !== "").join(".");
    const steps = path === "" ? [] : path.split(".");
    const position = locateJsonc(texts[table], steps);
    return { source: sources[table], ...position, path, message: reason };
  }));
}

function parseTable(
  table: TableName,
  texts: TableTexts,
  sources: TableSources,
): { value?: unknown; mistakes?: readonly InputMistake[] } {
  try {
    const source = sources[table];
    return {
      value: parseJsonc(texts[table], TABLE_SCHEMAS[table], { source }),
    };
  } catch (error) {
    if (error instanceof InputError) {
      return { mistakes: error.mistakes };
    }
    throw error;
  }
}

/**
 * Validates the text of each table and, if both are valid, the rules between
 * them.
 *
 * @param texts Texts of both tables.
 * @param sources Names of the sources, for messages.
 * @throws {InputError} With the position and the reason of each mistake.
 */
export function requireValidPair(
  texts: TableTexts,
  sources: TableSources,
): void {
  const parsed = TABLE_NAMES.map((table) => parseTable(table, texts, sources));
  const mistakes = parsed.flatMap((result) => result.mistakes ?? []);
  if (mistakes.length > 0) {
    throw new InputError(mistakes);
  }
  const [routes, pools] = parsed.map(({ value }) => value);
  const pairMistakes = checkTables({ routes, pools } as Tables);
  if (pairMistakes.length > 0) {
    throwMistakes(pairMistakes, texts, sources);
  }
}

/**
 * Checks that each table, stored with its new text, fits into one value of the
 * platform.
 *
 * @param bases Stored tables.
 * @param texts New texts.
 * @param sources Names of the sources, for messages.
 * @throws {InputError} When a table would be too large.
 */
export function requireStorable(
  bases: BaseTables,
  texts: TableTexts,
  sources: TableSources,
): void {
  const mistakes = TABLE_NAMES.flatMap((table) =>
    checkStoredSize(
      table,
      createStoredTable(bases[table], texts[table], EDIT_ID_PLACEHOLDER),
    )
  );
  if (mistakes.length > 0) {
    throwMistakes(mistakes, texts, sources);
  }
}

/**
 * Orders the writes of an edit. Between the two writes the platform stores one
 * new and one old table. The routes are written first if the new routes and the
 * old pools are a valid pair; otherwise the pools are written first, and the old
 * routes and the new pools are not checked as a pair.
 *
 * @param before Texts before the edit.
 * @param after Texts after the edit.
 * @returns Tables to write, in order; empty when nothing changes.
 */
export function orderWrites(
  before: TableTexts,
  after: TableTexts,
): TableName[] {
  const changed = TABLE_NAMES.filter((table) => before[table] !== after[table]);
  if (changed.length < TABLE_NAMES.length) {
    return changed;
  }
  const routesFirst = checkPair({ ...before, routes: after.routes });
  return routesFirst.kind === "valid" ? ["routes", "pools"] : [
    "pools",
    "routes",
  ];
}

/**
 * Formats the difference between two texts of a table.
 *
 * @param table Name of the table.
 * @param before Stored text.
 * @param after New text.
 * @returns Unified diff.
 */
export function diffTexts(
  table: TableName,
  before: string,
  after: string,
): string {
  return createTwoFilesPatch(
    `${table} (stored)`,
    `${table} (new)`,
    before,
    after,
  );
}
