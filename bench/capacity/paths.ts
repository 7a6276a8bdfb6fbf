/** Files of the capacity page. */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { type Slopes, slopesSchema } from "./slopes_schema.ts";

// Compiled modules run from dist/bench/capacity.
const DOCS_FOLDER = new URL("../../../docs/", import.meta.url);

/** Path of the measured values. */
export const SLOPES_FILE = fileURLToPath(
  new URL("capacity/slopes.json", DOCS_FOLDER),
);

/** Path of the page. */
export const CAPACITY_PAGE = fileURLToPath(
  new URL("CAPACITY.md", DOCS_FOLDER),
);

/**
 * Reads the measured values.
 *
 * @returns Validated values.
 * @throws When the file does not match its schema.
 */
export function readSlopes(): Slopes {
  return slopesSchema.parse(JSON.parse(readFileSync(SLOPES_FILE, "utf8")));
}
