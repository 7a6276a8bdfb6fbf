import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import {
  runTool,
  sampleStatus,
  serveStatus,
  startCliHarness,
} from "../testing/cli_harness.ts";
import { EXIT_CODES } from "./exit_codes.ts";

/** Lists the files in a folder of `examples`, relative to the repository's root. */
function exampleFiles(example: string): string[] {
  const folder = join("examples", example);
  const daemons = readdirSync(join(folder, "daemons"));
  return [
    join(folder, "routes.jsonc"),
    join(folder, "pools.jsonc"),
    ...daemons.map((name) => join(folder, "daemons", name)),
  ];
}

for (const example of ["association", "regie"]) {
  test(`the example ${example} is valid`, async () => {
    const { code, out, err } = await runTool(
      "validate",
      ...exampleFiles(example),
    );
    assert.equal(err, "");
    assert.equal(code, EXIT_CODES.applied);
    assert.match(out, /valid routes[^]*valid pools[^]*valid settings/);
  });
}

test("validate prints each mistake of a file as one line with its position", async (t) => {
  const { writeFile } = await startCliHarness(t);
  const file = writeFile("pools.jsonc", '{\n  "pools": { "a": 1, "B": {} }\n}');
  const { code, err } = await runTool("validate", file);
  assert.equal(code, EXIT_CODES.badInput);
  const lines = err.trimEnd().split("\n");
  assert.ok(lines.length >= 2);
  lines.forEach((line) => assert.match(line, /pools\.jsonc:2:\d+: pools\./));
});

test("validate reports a syntax error with its position", async (t) => {
  const { writeFile } = await startCliHarness(t);
  const file = writeFile("x.jsonc", '{\n  "routes": {\n');
  const { code, err } = await runTool("validate", file);
  assert.equal(code, EXIT_CODES.badInput);
  assert.match(err, /x\.jsonc:3:1: Invalid JSON/);
});

test("set and edit keep comments; edit rejects an unknown pool and a missing entry", async (t) => {
  const { url, apply, storedText } = await startCliHarness(t);
  const platform = ["--platform", url];
  const commented = '{\n  // Kept\n  "routes": {}\n}';
  assert.equal((await apply(commented)).code, EXIT_CODES.applied);
  const route = JSON.stringify({
    match: { method: "GET", pathPrefix: "/a" },
    pool: "logbook",
    class: "standard",
    idempotent: true,
  });
  await runTool("routes", "set", "a", route, ...platform);
  const edited = await runTool(
    "routes",
    "edit",
    "a",
    "class=critical",
    ...platform,
  );
  assert.equal(edited.code, EXIT_CODES.applied);
  assert.match(storedText(), /\/\/ Kept[^]*"class": "critical"/);
  const wrong = await runTool(
    "routes",
    "edit",
    "a",
    "pool=nowhere",
    ...platform,
  );
  assert.equal(wrong.code, EXIT_CODES.badInput);
  assert.match(wrong.err, /tables\/routes:.*Pool "nowhere" does not exist/);
  const missing = await runTool(
    "routes",
    "edit",
    "b",
    "class=critical",
    ...platform,
  );
  assert.equal(missing.code, EXIT_CODES.badInput);
  const removed = await runTool("routes", "set", "a", "--remove", ...platform);
  assert.equal(removed.code, EXIT_CODES.applied);
  assert.doesNotMatch(storedText(), /critical/);
});

test("explain names the branch rule and the central rule, and fails without a route", async () => {
  const [routes, pools] = exampleFiles("association") as [string, string];
  const request = ["POST", "/enrolments/7", "--tenant", "workshop-ziguinchor"];
  const files = ["--routes", routes, "--pools", pools, "--json"];
  const { code, out } = await runTool("explain", ...request, ...files);
  assert.equal(code, EXIT_CODES.applied);
  const explanation = JSON.parse(out);
  assert.equal(explanation.route, "enrol");
  assert.equal(explanation.class, "critical");
  assert.equal(explanation.timeoutMs, 15_000);
  assert.equal(explanation.timeoutReason, "branch rule, central rule is 10000");
  const none = await runTool("explain", "GET", "/nothing", ...files);
  assert.equal(none.code, EXIT_CODES.error);
});

test("status, top, drain and undrain call the operator listeners; status fails without an answer", async (t) => {
  const requests: string[] = [];
  const url = await serveStatus(t, sampleStatus("i-1", 4), requests);
  const daemon = ["--daemon", url];
  const status = await runTool("status", ...daemon);
  assert.match(
    status.out,
    /i-1 in dc-1: ready\n.*generation 4 , confirmed 1\.5 s/,
  );
  const top = await runTool("top", "--once", ...daemon);
  assert.match(top.out, /INSTANCE .*\ni-1 +ready +4 +512 +3 +30 +0 /);
  assert.equal((await runTool("drain", ...daemon)).code, EXIT_CODES.applied);
  assert.equal((await runTool("undrain", ...daemon)).code, EXIT_CODES.applied);
  assert.deepEqual(requests.slice(2), ["POST /drain", "POST /undrain"]);
  const unreachable = await runTool("status", "--daemon", "http://127.0.0.1:1");
  assert.equal(unreachable.code, EXIT_CODES.error);
});

test("charts prints a chart as text and as a Mermaid diagram, and rejects an unknown name", async () => {
  const lease = await runTool("charts", "lease");
  assert.match(
    lease.out,
    /held\n {2}tick \[isExpired\] \/ emitLost -> lost/,
  );
  const mermaid = await runTool("charts", "lease", "--mermaid");
  assert.match(mermaid.out, /^stateDiagram-v2\n {2}\[\*\] --> idle\n/);
  assert.equal((await runTool("charts", "none")).code, EXIT_CODES.badInput);
});
