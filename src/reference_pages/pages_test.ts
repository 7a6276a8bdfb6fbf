import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fillSections } from "./fill_sections.ts";
import { PAGE_PATHS } from "./pages.ts";
import { SECTION_GENERATORS } from "./sections.ts";

// Guards against pages that describe fields, errors, metrics or charts that no
// longer exist.
for (const page of PAGE_PATHS) {
  test(`${page.split("/").at(-1)} equals the output of npm run docs:tables`, () => {
    const committed = readFileSync(page, "utf8");
    assert.equal(fillSections(committed, SECTION_GENERATORS), committed);
  });
}

// Guards against a section that is no longer updated because no generator has the
// name in its marker.
test("a section marker without a generator is rejected", () => {
  const page = "<!-- generated: nothing -->\n\n<!-- end: nothing -->\n";
  assert.throws(() => fillSections(page, SECTION_GENERATORS), /nothing/);
});
