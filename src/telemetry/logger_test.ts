import assert from "node:assert/strict";
import { test } from "node:test";
import { errorFields, JsonLogger, type LogLevel } from "./logger.ts";

function capture(level: LogLevel) {
  const lines: string[] = [];
  const log = new JsonLogger({
    level,
    fields: { instance: "certify-1" },
    write: (line) => lines.push(line),
    wallMs: () => 0,
  });
  return { log, lines };
}

test("a line is one JSON object in which secrets and bodies are redacted", () => {
  const { log, lines } = capture("info");
  log.info("Key read", { id: "k1", secret: "abc", Body: "x\ny" });
  assert.equal(
    lines.join(""),
    '{"time":"1970-01-01T00:00:00.000Z","level":"info","message":"Key read",' +
      '"instance":"certify-1","id":"k1","secret":"withheld","Body":"withheld"}\n',
  );
});

test("loggers have independent levels and drop messages below them", () => {
  const errorLog = capture("error");
  const debugLog = capture("debug");
  errorLog.log.warn("Late");
  debugLog.log.debug("Probe", errorFields(new Error("refused")));
  assert.deepEqual(errorLog.lines, []);
  assert.match(debugLog.lines[0] ?? "", /"error":"refused"/);
});
