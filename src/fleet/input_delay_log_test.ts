import assert from "node:assert/strict";
import { test } from "node:test";
import type { Logger } from "../telemetry/logger.ts";
import { InputDelayLog } from "./input_delay_log.ts";

function createLog() {
  const lines: unknown[] = [];
  const log = {
    info: (message: string, fields: unknown) => lines.push([message, fields]),
  } as unknown as Logger;
  let longestMs = 0;
  const delayLog = new InputDelayLog({ takeLongestMs: () => longestMs }, log);
  return { delayLog, lines, setLongest: (ms: number) => longestMs = ms };
}

test("a delay of the input or of a frame is logged, at most once a second", () => {
  const { delayLog, lines, setLongest } = createLog();
  delayLog.tick(0);
  setLongest(250.4);
  delayLog.tick(999);
  assert.deepEqual(lines, []);
  delayLog.tick(1_000);
  setLongest(0);
  delayLog.recordFrame(600);
  delayLog.recordFrame(20);
  delayLog.tick(2_000);
  delayLog.recordFrame(20);
  delayLog.tick(3_000);
  assert.deepEqual(lines, [
    ["Input was read late", { inputDelayMs: 250, frameDelayMs: 0 }],
    ["Input was read late", { inputDelayMs: 0, frameDelayMs: 600 }],
  ]);
});
