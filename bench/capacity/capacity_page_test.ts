import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fillSections } from "../../src/reference_pages/fill_sections.ts";
import { fitWithError } from "./fit_line.ts";
import { capacitySections } from "./page_sections.ts";
import { CAPACITY_PAGE, readSlopes } from "./paths.ts";

// Guards against a page whose figures are not those of the slopes file.
test("CAPACITY.md is what npm run docs:capacity writes", () => {
  const committed = readFileSync(CAPACITY_PAGE, "utf8");
  const sections = capacitySections(readSlopes());
  for (const name of Object.keys(sections)) {
    assert.match(committed, new RegExp(`<!-- generated: ${name} -->`));
  }
  assert.equal(fillSections(committed, sections), committed);
});

// Guards against an error of the fit that hides scattered measurements.
test("the error of a slope is zero on a line and grows with the scatter", () => {
  assert.equal(fitWithError([[0, 1], [1, 3], [2, 5]]).slopeError, 0);
  const scattered = fitWithError([[0, 0], [1, 3], [2, 0]]);
  assert.equal(scattered.slope, 0);
  assert.ok(Math.abs(scattered.slopeError - Math.sqrt(3)) < 1e-9);
});
