/** Edits single entries in the text of a table and preserves its comments. */
import { applyEdits, type JSONPath, modify, parse } from "jsonc-parser";
import { InputError } from "../errors/input_error.ts";
import type { TableName } from "../schemas/config_schema.ts";

const FORMATTING = { insertSpaces: true, tabSize: 2 };

/** Returns the value at a path; undefined when there is none. */
function valueAt(text: string, path: JSONPath): unknown {
  return path.reduce<unknown>(
    (value, step) => (value as Record<string, unknown> | undefined)?.[step],
    parse(text, [], { allowTrailingComma: true }),
  );
}

/**
 * Converts the name of an entry to its path in the table.
 *
 * @param table Name of the table.
 * @param name `NAME`, `SECTION.NAME`, or `rules` for the central rules, which are
 * in the table of routes.
 * @returns Keys from the root to the entry.
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
 * Reads an entry from the text of a table.
 *
 * @param text Text of the table.
 * @param path Path of the entry.
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
 * Sets or removes a value in the text of a table.
 *
 * @param text Text of the table.
 * @param path Path of the value.
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
 * Parses an assignment. A value that is not valid JSON is taken as a string.
 *
 * @param assignment `FIELD=VALUE`; an empty value removes the field.
 * @returns Path of the field and its value.
 * @throws {InputError} When the text has no `=`, or no field before it.
 *
 * @example
 * parseAssignment("match.method=GET"); // { path: ["match", "method"], value: "GET" }
 */
export function parseAssignment(
  assignment: string,
): { path: string[]; value: unknown } {
  const separatorIndex = assignment.indexOf("=");
  if (separatorIndex < 1) {
    const message = "Must have the form FIELD=VALUE";
    throw new InputError([{ source: "arguments", path: assignment, message }]);
  }
  const path = assignment.slice(0, separatorIndex).split(".");
  const text = assignment.slice(separatorIndex + 1);
  return { path, value: text === "" ? undefined : parseValue(text) };
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
