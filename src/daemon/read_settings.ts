/** Reads the settings file of a daemon. */
import { readFileSync } from "node:fs";
import { InputError } from "../errors/input_error.ts";
import { parseJsonc } from "../schemas/parse_jsonc.ts";
import { type Settings, settingsSchema } from "../schemas/settings_schema.ts";

/**
 * Reads and validates a settings file.
 *
 * @param file Path of the file.
 * @returns Validated settings.
 * @throws {InputError} When the file cannot be read or has mistakes.
 *
 * @example
 * const settings = readSettings("/etc/goldcrestrelay/daemon.jsonc");
 */
export function readSettings(file: string): Settings {
  return parseJsonc(readText(file), settingsSchema, { source: file });
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const message = `The file cannot be read (${code})`;
    throw new InputError([{ source: file, path: "", message }]);
  }
}
