import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fillSections } from "./fill_sections.ts";
import { PAGES } from "./pages.ts";
import { SECTIONS } from "./sections.ts";

// Guards against pages that describe fields, errors, metrics or charts that no
// longer exist.
for (const page of PAGES) {
  test(`${page.split("/").at(-1)} is what npm run docs:tables writes`, () => {
    const committed = readFileSync(page, "utf8");
    assert.equal(fillSections(committed, SECTIONS), committed);
  });
}

test("a section marker without a generator is rejected", () => {
  const page = "<!-- generated: nothing -->\n\n<!-- end: nothing -->\n";
  assert.throws(() => fillSections(page, SECTIONS), /nothing/);
});
