/** Edits single entries of a table's text and keeps its comments. */
import { applyEdits, type JSONPath, modify, parse } from "jsonc-parser";
import { InputError } from "../errors/input_error.ts";
import type { TableName } from "../schemas/config_schema.ts";

const FORMATTING = { insertSpaces: true, tabSize: 2 };

function valueAt(text: string, path: JSONPath): unknown {
  return path.reduce<unknown>(
    (value, step) => (value as Record<string, unknown> | undefined)?.[step],
    parse(text, [], { allowTrailingComma: true }),
  );
}

/**
 * Finds the place of an entry from its name.
 *
 * @param table Name of the table.
 * @param name `NAME`, `SECTION.NAME`, or `rules` for the central rules.
 * @returns Names from the root to the entry.
 *
 * @example
 * entryPath("routes", "tenants.workshop-dakar"); // ["tenants", "workshop-dakar"]
 */
export function entryPath(table: TableName, name: string): string[] {
  if (table === "routes" && name === "rules") {
    return ["rules"];
  }
  return name.includes(".") ? name.split(".") : [table, name];
}

/**
 * Reads an entry.
 *
 * @param text Text of the table.
 * @param path Place of the entry.
 * @returns Value of the entry.
 * @throws {InputError} When it does not exist.
 */
export function readEntry(text: string, path: string[]): unknown {
  const value = valueAt(text, path);
  if (value === undefined) {
    const message = "Entry does not exist";
    throw new InputError([{
      source: "arguments",
      path: path.join("."),
      message,
    }]);
  }
  return value;
}

/**
 * Sets or removes a value.
 *
 * @param text Text of the table.
 * @param path Place of the value.
 * @param value New value; undefined removes it.
 * @returns New text.
 */
export function setValue(
  text: string,
  path: string[],
  value: unknown,
): string {
  return applyEdits(
    text,
    modify(text, path, value, { formattingOptions: FORMATTING }),
  );
}

/**
 * Parses an assignment. A value that is not JSON is a string.
 *
 * @param assignment `FIELD=VALUE`; an empty value removes the field.
 * @returns Path of the field and its value.
 * @throws {InputError} Without `=`.
 *
 * @example
 * parseAssignment("match.method=GET"); // { path: ["match", "method"], value: "GET" }
 */
export function parseAssignment(
  assignment: string,
): { path: string[]; value: unknown } {
  const split = assignment.indexOf("=");
  if (split < 1) {
    const message = "Must have the form FIELD=VALUE";
    throw new InputError([{ source: "arguments", path: assignment, message }]);
  }
  const path = assignment.slice(0, split).split(".");
  const text = assignment.slice(split + 1);
  return { path, value: text === "" ? undefined : parseValue(text) };
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
