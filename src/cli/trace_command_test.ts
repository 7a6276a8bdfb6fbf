import assert from "node:assert/strict";
import { test } from "node:test";
import { runTool, startCliHarness } from "../testing/cli_harness.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Formats a log line with a prefix as a log collector adds it. */
const formatLogLine = (
  time: string,
  instance: string,
  message: string,
  fields: Record<string, unknown>,
) =>
  `  12.3 ${instance} ${
    JSON.stringify({ time, level: "info", message, instance, ...fields })
  }`;

const ENTRY_LOG = [
  formatLogLine("10:00:00.1", "entry", "Request refused", {
    requestId: "shed",
    kind: "shed",
    pool: "plates",
    admittedClasses: 1.4,
  }),
  formatLogLine("10:00:00.1", "entry", "Request refused", {
    requestId: "unread",
    kind: "shed",
    heldBytes: 80_000_000,
  }),
  formatLogLine("10:00:00.2", "entry", "Request attempt failed", {
    requestId: "broken",
    upstream: "one",
    kind: "upstream_failed",
  }),
  formatLogLine("10:00:00.3", "entry", "Request ended", {
    requestId: "broken",
    outcome: "upstream_failed",
    upstream: "one",
    tookMs: 31,
  }),
  formatLogLine("10:00:00.4", "entry", "Request refused", {
    requestId: "unrouted",
    kind: "no_route",
    path: "/old/1",
    configVersion: 7,
  }),
  formatLogLine("10:00:00.9", "entry", "Request ended", {
    requestId: "failedCall",
    outcome: "answered 500",
    upstream: "one",
    tookMs: 90,
  }),
  formatLogLine("10:00:00.9", "entry", "Request ended", {
    requestId: "capped",
    outcome: "usage_capped",
    tenant: "amber",
    tookMs: 38,
  }),
  // Incomplete, as the last line of a process that was killed.
  "cut off {",
].join("\n");

const UPSTREAM_LOG = formatLogLine("10:00:00.8", "one", "Request ended", {
  requestId: "failedCall.e5",
  outcome: "deadline_exceeded",
  upstream: "two",
  tookMs: 80,
});

const CAUSES: Record<string, RegExp> = {
  unread: /Refused at the entry: callers have not read 80000000 bytes/,
  shed:
    /Refused at the entry: pool plates has no room \(admitted classes 1\.4\)/,
  broken: /The upstream beside one broke off or spoiled its answer/,
  capped: /Tenant amber has reached its usage cap .*it has not run/,
  unrouted: /No route of configuration 7 matches \/old\/1/,
  failedCall:
    /after its call failedCall\.e5 failed: No answer of two within 80 ms/,
};

for (const [requestId, cause] of Object.entries(CAUSES)) {
  test(`trace finds the cause of the request ${requestId} in the logs of two daemons`, async (t) => {
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
