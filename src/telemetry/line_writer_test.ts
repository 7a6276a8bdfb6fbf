import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { LineWriter } from "./line_writer.ts";

test("lines are dropped while a reader does not read, so that memory stays bounded", () => {
  const unread = new Writable({ write() {} });
  const writer = new LineWriter(unread);
  const line = `${"x".repeat(1_000)}\n`;
  for (let index = 0; index < 2_000; index++) {
    writer.write(line);
  }
  assert.ok(unread.writableLength < 300_000);
  assert.ok(writer.droppedCount > 1_700);
});

test("a write error of the destination does not end the process", () => {
  const closed = new Writable({
    write(_chunk, _encoding, callback) {
      callback(new Error("EPIPE"));
    },
  });
  const writer = new LineWriter(closed);
  writer.write("a\n");
  writer.write("b\n");
  assert.ok(writer.droppedCount <= 2);
});
