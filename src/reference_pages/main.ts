/** Updates the generated sections of the operators' pages. */
import { readFileSync, writeFileSync } from "node:fs";
import { fillSections } from "./fill_sections.ts";
import { PAGE_PATHS } from "./pages.ts";
import { SECTION_GENERATORS } from "./sections.ts";

for (const page of PAGE_PATHS) {
  writeFileSync(
    page,
    fillSections(readFileSync(page, "utf8"), SECTION_GENERATORS),
  );
}
