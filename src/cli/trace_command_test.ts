import assert from "node:assert/strict";
import { test } from "node:test";
import { runTool, startCliHarness } from "../testing/cli_harness.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const line = (
  time: string,
  instance: string,
  message: string,
  fields: Record<string, unknown>,
) =>
  `  12.3 ${instance} ${
    JSON.stringify({ time, level: "info", message, instance, ...fields })
  }`;

const ENTRY_LOG = [
  line("10:00:00.1", "entry", "Request refused", {
    requestId: "a1",
    kind: "shed",
    pool: "plates",
    admittedClasses: 1.4,
  }),
  line("10:00:00.2", "entry", "Request attempt failed", {
    requestId: "b2",
    upstream: "one",
    kind: "upstream_failed",
  }),
  line("10:00:00.3", "entry", "Request ended", {
    requestId: "b2",
    outcome: "upstream_failed",
    upstream: "one",
    tookMs: 31,
  }),
  line("10:00:00.4", "entry", "Request refused", {
    requestId: "c3",
    kind: "no_route",
    path: "/old/1",
    configVersion: 7,
  }),
  line("10:00:00.9", "entry", "Request ended", {
    requestId: "d4",
    outcome: "answered 500",
    upstream: "one",
    tookMs: 90,
  }),
  "cut off {",
].join("\n");

const UPSTREAM_LOG = line("10:00:00.8", "one", "Request ended", {
  requestId: "d4.e5",
  outcome: "deadline_exceeded",
  upstream: "two",
  tookMs: 80,
});

const CAUSES: Record<string, RegExp> = {
  a1: /Refused at the entry: pool plates has no room \(admitted classes 1\.4\)/,
  b2: /The upstream beside one broke off or spoiled its answer/,
  c3: /No route of configuration 7 matches \/old\/1/,
  d4: /after its call d4\.e5 failed: No answer of two within 80 ms/,
};

for (const [requestId, cause] of Object.entries(CAUSES)) {
  test(`trace finds the cause of ${requestId} in the logs of all daemons`, async (t) => {
    const { writeFile } = await startCliHarness(t);
    const files = [
      writeFile("one.log", UPSTREAM_LOG),
      writeFile("entry.log", ENTRY_LOG),
    ];
    const { code, out, err } = await runTool("trace", requestId, ...files);
    assert.equal(err, "");
    assert.equal(code, EXIT_CODES.applied);
    assert.match(out, cause);
  });
}

test("trace exits with an error when no log line names the request", async (t) => {
  const { writeFile } = await startCliHarness(t);
  const file = writeFile("entry.log", ENTRY_LOG);
  const { code, err } = await runTool("trace", "unknown", file);
  assert.equal(code, EXIT_CODES.error);
  assert.match(err, /No line names the request unknown/);
});
