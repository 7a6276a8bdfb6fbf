/** Updates the generated sections of the operators' pages. */
import { readFileSync, writeFileSync } from "node:fs";
import { fillSections } from "./fill_sections.ts";
import { PAGES } from "./pages.ts";
import { SECTIONS } from "./sections.ts";

for (const page of PAGES) {
  writeFileSync(page, fillSections(readFileSync(page, "utf8"), SECTIONS));
}
