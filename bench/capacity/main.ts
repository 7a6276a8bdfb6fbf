/** Writes the generated sections of docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from "node:fs";
import { fillSections } from "../../src/reference_pages/fill_sections.ts";
import { capacitySections } from "./page_sections.ts";
import { CAPACITY_PAGE, readSlopes } from "./paths.ts";

const page = readFileSync(CAPACITY_PAGE, "utf8");
writeFileSync(
  CAPACITY_PAGE,
  fillSections(page, capacitySections(readSlopes())),
);
