/** Pages with generated sections. */
import { fileURLToPath } from "node:url";

// Compiled modules run from dist/src/reference_pages.
const PAGES_FOLDER = new URL("../../../docs/operators/", import.meta.url);

/** Paths of the pages that have generated sections. */
export const PAGE_PATHS: readonly string[] = [
  "tables.md",
  "settings.md",
  "errors_and_metrics.md",
  "charts.md",
].map((name) => fileURLToPath(new URL(name, PAGES_FOLDER)));
