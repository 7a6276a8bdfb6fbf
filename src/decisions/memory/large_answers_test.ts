import assert from "node:assert/strict";
import { test } from "node:test";
import { LargeAnswers } from "./large_answers.ts";

const MAX_BYTES = 100_000_000;
const ANSWER_BYTES = 20_000_000;

/** Answers of a route that has had one of 20 MB. */
function createAnswers(maxBytes = MAX_BYTES): LargeAnswers {
  const answers = new LargeAnswers(maxBytes);
  answers.start("bundle");
  answers.end("bundle", ANSWER_BYTES);
  return answers;
}

// Guards against answers to slow readers that exhaust the memory of the process.
test("large answers are admitted while those that are held and expected leave room", () => {
  const answers = createAnswers();
  assert.equal(answers.admits("bundle", 3 * ANSWER_BYTES), true);
  assert.equal(answers.admits("bundle", 5 * ANSWER_BYTES), false);
  answers.start("bundle");
  answers.start("bundle");
  assert.equal(answers.admits("bundle", 3 * ANSWER_BYTES), false);
  answers.end("bundle");
  assert.equal(answers.admits("bundle", 3 * ANSWER_BYTES), true);
});

test("routes with small answers or without one so far are admitted at any time", () => {
  const answers = createAnswers();
  answers.start("vote");
  answers.end("vote", 300);
  for (const routeName of ["vote", "new"]) {
    assert.equal(answers.admits(routeName, 10 * MAX_BYTES), true);
  }
});

test("an answer that is larger than the bound is admitted alone", () => {
  const answers = createAnswers(ANSWER_BYTES / 2);
  assert.equal(answers.admits("bundle", 0), true);
  assert.equal(answers.admits("bundle", 1), false);
});
