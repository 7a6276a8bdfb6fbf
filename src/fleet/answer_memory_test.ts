import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerBuffer, AnswerMemory } from "./answer_memory.ts";

const MAX_BYTES = 1_000;

function createAnswer() {
  const answer = {
    bodyBytes: 0,
    isDiscarded: false,
    discard: () => {
      answer.isDiscarded = true;
    },
  };
  return answer satisfies AnswerBuffer;
}

test("the largest answer is discarded, and smaller ones are kept", () => {
  const memory = new AnswerMemory(MAX_BYTES);
  const [endless, small, late] = [
    createAnswer(),
    createAnswer(),
    createAnswer(),
  ];
  memory.add(small, 100);
  memory.add(endless, 850);
  memory.add(late, 60);
  assert.equal(endless.isDiscarded, true);
  assert.equal(small.isDiscarded || late.isDiscarded, false);
});

test("the room of a released answer is available again", () => {
  const memory = new AnswerMemory(MAX_BYTES);
  for (let count = 0; count < 50; count++) {
    const answer = createAnswer();
    memory.add(answer, 900);
    memory.release(answer);
    memory.release(answer);
    assert.equal(answer.isDiscarded, false);
  }
});
