import assert from "node:assert/strict";
import { test } from "node:test";
import { isUsualRequest, requestBytesOf } from "./request_memory.ts";

function createHead(fieldsCount: number, valueLength: number) {
  const fields = Array.from(
    { length: fieldsCount },
    (_, n) => [`x-${100 + n}`, "v".repeat(valueLength)],
  );
  return { url: "/", rawHeaders: fields.flat() };
}

// Guards against heads of many small fields, which take several times their size.
test("each header field counts besides its text", () => {
  const many = requestBytesOf(createHead(790, 10));
  const few = requestBytesOf(createHead(10, 1_250));
  assert.ok(many > 100_000);
  assert.ok(few < 25_000);
  assert.equal(isUsualRequest(many), false);
  assert.equal(isUsualRequest(requestBytesOf(createHead(40, 30))), true);
});
