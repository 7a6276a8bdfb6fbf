import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fillSections } from "../../src/reference_pages/fill_sections.ts";
import { fitWithError } from "./fit_line.ts";
import { capacitySections } from "./page_sections.ts";
import { CAPACITY_PAGE, readSlopes } from "./paths.ts";

// Fails when the page was not regenerated after a change of the slopes file or
// of the sections.
test("docs/CAPACITY.md matches the output of npm run docs:capacity", () => {
  const committed = readFileSync(CAPACITY_PAGE, "utf8");
  const sections = capacitySections(readSlopes());
  for (const name of Object.keys(sections)) {
    assert.match(committed, new RegExp(`<!-- generated: ${name} -->`));
  }
  assert.equal(fillSections(committed, sections), committed);
});

// An error of zero would hide that the measurements are scattered.
test("the standard error of a slope is zero on a line and positive for scattered points", () => {
  assert.equal(fitWithError([[0, 1], [1, 3], [2, 5]]).slopeError, 0);
  const scattered = fitWithError([[0, 0], [1, 3], [2, 0]]);
  assert.equal(scattered.slope, 0);
  assert.ok(Math.abs(scattered.slopeError - Math.sqrt(3)) < 1e-9);
});
