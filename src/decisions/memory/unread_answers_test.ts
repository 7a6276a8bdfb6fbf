import assert from "node:assert/strict";
import { test } from "node:test";
import { UnreadAnswers } from "./unread_answers.ts";

const CHECK_MS = 1_000;

/** Checks each second; returns the time of the first close, in ms. */
function closedAtMs(
  unsentBytesAt: (nowMs: number) => number,
  untilMs: number,
): number | undefined {
  const answers = new UnreadAnswers<{ writableLength: number }>();
  const connection = { writableLength: 0 };
  for (let nowMs = 0; nowMs <= untilMs; nowMs += CHECK_MS) {
    connection.writableLength = unsentBytesAt(nowMs);
    if (answers.check([connection], nowMs).length > 0) {
      return nowMs;
    }
  }
  return undefined;
}

// Guards against callers that keep memory and a connection for ever.
test("a caller that takes no byte of a small answer is closed after a minute", () => {
  assert.equal(closedAtMs(() => 500, 300_000), 61_000);
});

test("callers that take an answer slowly, or that wait for one, are not closed", () => {
  assert.equal(closedAtMs(() => 0, 300_000), undefined);
  assert.equal(
    closedAtMs((nowMs) => 1_000_000 - nowMs / 2, 600_000),
    undefined,
  );
  // 20 MB in one write, of which nothing changes until its end.
  assert.equal(closedAtMs(() => 20_000_000, 600_000), undefined);
});

// Guards against callers that are closed because the process did not write.
test("a pause of the process does not count", () => {
  const answers = new UnreadAnswers<{ writableLength: number }>();
  const connection = { writableLength: 500 };
  answers.check([connection], 0);
  assert.deepEqual(answers.check([connection], 300_000), []);
});
