/** Parses and validates pairs of tables, and checks sizes against the platform's limit. */
import { stripComments } from "jsonc-parser";
import { InputError, type InputMistake } from "../errors/input_error.ts";
import {
  type StoredTable,
  TABLE_SCHEMAS,
  type TableMistake,
  type TableName,
} from "../schemas/config_schema.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import type { Tables } from "../schemas/tables_schema.ts";
import { validateTables } from "./validate_tables.ts";

/** Largest value that the platform stores. */
export const VALUE_MAX_BYTES = 1_048_576;
// A snapshot stores whole entries in chunks, and each chunk is one value of the
// platform, so that an entry must fit into `VALUE_MAX_BYTES`. This bound is also
// below the size of a chunk in `snapshot_store.ts`.
const ENTRY_MAX_BYTES = 524_288;

/** Texts of both tables. */
export type TableTexts = Record<TableName, string>;

/** Result of the check of a pair. */
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

/**
 * Checks branches and pools, whose records and lists have no bound in their
 * schemas. The list `branchBounds.classes` of a route has none either, but is
 * not checked.
 */
function checkEntrySizes({ routes, pools }: Tables): TableMistake[] {
  const reason = `The entry has more than ${ENTRY_MAX_BYTES} bytes`;
  const listOversized = (table: TableName, section: string, values: object) =>
    Object.entries(values)
      .filter(([, value]) => encodedBytes(value) > ENTRY_MAX_BYTES)
      .map(([name]): TableMistake => (
        { table, entry: `${section}.${name}`, field: "", reason }
      ));
  return [
    ...listOversized("routes", "branches", routes.branches),
    ...listOversized("pools", "pools", pools.pools),
  ];
}

/**
 * Converts a mistake of a file to a mistake of a table.
 *
 * @param table Name of the table.
 * @param mistake Mistake with a path such as `routes.enrol.pool`.
 * @returns Mistake with the path split into entry and field.
 */
export function toTableMistake(
  table: TableName,
  mistake: InputMistake,
): TableMistake {
  const segments = mistake.path === "" ? [] : mistake.path.split(".");
  const position = mistake.line === undefined
    ? ""
    : ` (line ${mistake.line}, column ${mistake.column ?? 1})`;
  return {
    table,
    entry: segments.slice(0, 2).join("."),
    field: segments.slice(2).join("."),
    reason: `${mistake.message}${position}`,
  };
}

/**
 * Parses a table without positions. Stripping the comments and parsing the rest
 * as JSON takes a quarter of the time of the parser with positions, which runs
 * only when the table has mistakes.
 */
function parseWithoutPositions<N extends TableName>(
  table: N,
  text: string,
): Tables[N] | undefined {
  try {
    const result = TABLE_SCHEMAS[table].safeParse(
      JSON.parse(stripComments(text)),
    );
    return result.data as Tables[N] | undefined;
  } catch {
    return undefined;
  }
}

function parseTable<N extends TableName>(
  table: N,
  text: string,
): { value?: Tables[N]; mistakes: TableMistake[] } {
  const value = parseWithoutPositions(table, text);
  if (value !== undefined) {
    return { value, mistakes: [] };
  }
  try {
    const parsed = parseJsonc(text, TABLE_SCHEMAS[table], { source: table });
    return { value: parsed as Tables[N], mistakes: [] };
  } catch (error) {
    if (!(error instanceof InputError)) {
      throw error;
    }
    const mistakes = error.mistakes.map((item) => toTableMistake(table, item));
    return { mistakes };
  }
}

/**
 * Checks a pair of parsed tables: their rules and the sizes of their entries.
 *
 * @param tables Pair of tables.
 * @returns All mistakes; empty when the pair can be accepted.
 */
export function checkTables(tables: Tables): TableMistake[] {
  return [...validateTables(tables), ...checkEntrySizes(tables)];
}

/**
 * Checks pairs of tables one after the other. A table whose text did not change
 * is not parsed again.
 *
 * @example
 * const checker = new PairChecker();
 * checker.check({ routes: '{"routes":{}}', pools: '{"pools":{}}' }).kind; // "valid"
 */
export class PairChecker {
  readonly #parsed = new Map<TableName, { text: string; value: unknown }>();

  /**
   * Parses and validates a pair of tables.
   *
   * @param texts Both tables as JSON with comments.
   * @returns The tables, or all mistakes.
   */
  check(texts: TableTexts): CheckedPair {
    const routes = this.#parse("routes", texts.routes);
    const pools = this.#parse("pools", texts.pools);
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

  #parse<N extends TableName>(table: N, text: string) {
    const last = this.#parsed.get(table);
    if (last?.text === text) {
      return { value: last.value as Tables[N], mistakes: [] };
    }
    const parsed = parseTable(table, text);
    if (parsed.value !== undefined) {
      this.#parsed.set(table, { text, value: parsed.value });
    }
    return parsed;
  }
}

/**
 * Parses and validates one pair of tables.
 *
 * @param texts Both tables as JSON with comments.
 * @returns The tables, or all mistakes.
 *
 * @example
 * checkPair({ routes: '{"routes":{}}', pools: '{"pools":{}}' }).kind; // "valid"
 */
export function checkPair(texts: TableTexts): CheckedPair {
  return new PairChecker().check(texts);
}
