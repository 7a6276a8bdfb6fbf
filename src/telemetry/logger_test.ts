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

test("a line is one JSON object that withholds secrets and bodies", () => {
  const { log, lines } = capture("info");
  log.info("Key read", { id: "k1", secret: "abc", Body: "x\ny" });
  assert.equal(
    lines.join(""),
    '{"time":"1970-01-01T00:00:00.000Z","level":"info","message":"Key read",' +
      '"instance":"certify-1","id":"k1","secret":"withheld","Body":"withheld"}\n',
  );
});

test("two loggers keep their own levels, and lower levels write nothing", () => {
  const quiet = capture("error");
  const loud = capture("debug");
  quiet.log.warn("Late");
  loud.log.debug("Probe", errorFields(new Error("refused")));
  assert.deepEqual(quiet.lines, []);
  assert.match(loud.lines[0] ?? "", /"error":"refused"/);
});
