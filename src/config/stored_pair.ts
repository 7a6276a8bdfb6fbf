/** Checks of tables as the platform stores them. */
import { InputError, type InputMistake } from "../errors/input_error.ts";
import {
  type StoredTable,
  TABLE_SCHEMAS,
  type TableMistake,
  type TableName,
} from "../schemas/config_schema.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import type { Tables } from "../schemas/tables_schema.ts";
import { splitTables } from "./table_entries.ts";
import { validateTables } from "./validate_tables.ts";

/** Largest value that the platform takes. */
export const VALUE_MAX_BYTES = 1_048_576;
// A snapshot stores whole entries in chunks below the platform's limit.
const ENTRY_MAX_BYTES = 524_288;

/** Texts of both tables. */
export type TableTexts = Record<TableName, string>;

/** A pair that was checked. */
export type CheckedPair =
  | { readonly kind: "valid"; readonly tables: Tables }
  | { readonly kind: "invalid"; readonly mistakes: TableMistake[] };

function encodedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/**
 * Checks that the platform can hold a table.
 *
 * @param table Name of the table.
 * @param stored Value to be stored.
 * @returns One mistake when the value is too large.
 */
export function checkStoredSize(
  table: TableName,
  stored: StoredTable,
): TableMistake[] {
  const sizeBytes = encodedBytes(stored);
  if (sizeBytes <= VALUE_MAX_BYTES) {
    return [];
  }
  const reason = `The table has ${sizeBytes} bytes, more than the platform's ` +
    `limit of ${VALUE_MAX_BYTES}`;
  return [{ table, entry: "", field: "", reason }];
}

function checkEntrySizes(tables: Tables): TableMistake[] {
  return [...splitTables(tables).values()]
    .filter((entry) => encodedBytes(entry.value) > ENTRY_MAX_BYTES)
    .map(({ section, name }) => ({
      table: section === "pools" ? "pools" : "routes",
      entry: `${section}.${name}`,
      field: "",
      reason: `The entry has more than ${ENTRY_MAX_BYTES} bytes`,
    }));
}

/**
 * Restates a mistake of a file as a mistake of a table.
 *
 * @param table Name of the table.
 * @param mistake Mistake with a path such as `routes.enrol.pool`.
 * @returns The mistake with entry and field apart.
 */
export function toTableMistake(
  table: TableName,
  mistake: InputMistake,
): TableMistake {
  const steps = mistake.path === "" ? [] : mistake.path.split(".");
  const position = mistake.line === undefined
    ? ""
    : ` (line ${mistake.line}, column ${mistake.column ?? 1})`;
  return {
    table,
    entry: steps.slice(0, 2).join("."),
    field: steps.slice(2).join("."),
    reason: `${mistake.message}${position}`,
  };
}

function parseTable<N extends TableName>(
  table: N,
  text: string,
): { value?: Tables[N]; mistakes: TableMistake[] } {
  try {
    const value = parseJsonc(text, TABLE_SCHEMAS[table], { source: table });
    return { value: value as Tables[N], mistakes: [] };
  } catch (error) {
    if (!(error instanceof InputError)) {
      throw error;
    }
    const mistakes = error.mistakes.map((item) => toTableMistake(table, item));
    return { mistakes };
  }
}

/**
 * Checks a pair of parsed tables: the rules between them and their sizes.
 *
 * @param tables Pair of tables.
 * @returns All mistakes; empty when the pair can be accepted.
 */
export function checkTables(tables: Tables): TableMistake[] {
  return [...validateTables(tables), ...checkEntrySizes(tables)];
}

/**
 * Parses and validates a pair of tables.
 *
 * @param texts Both tables as JSON with comments.
 * @returns The tables, or all mistakes.
 *
 * @example
 * checkPair({ routes: '{"routes":{}}', pools: '{"pools":{}}' }).kind; // "valid"
 */
export function checkPair(texts: TableTexts): CheckedPair {
  const routes = parseTable("routes", texts.routes);
  const pools = parseTable("pools", texts.pools);
  if (routes.value === undefined || pools.value === undefined) {
    const mistakes = [...routes.mistakes, ...pools.mistakes];
    return { kind: "invalid", mistakes };
  }
  const tables = { routes: routes.value, pools: pools.value };
  const mistakes = checkTables(tables);
  return mistakes.length === 0
    ? { kind: "valid", tables }
    : { kind: "invalid", mistakes };
}
