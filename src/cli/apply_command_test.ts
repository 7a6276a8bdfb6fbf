import assert from "node:assert/strict";
import { test } from "node:test";
import {
  routesText,
  runTool,
  sampleStatus,
  serveStatus,
  startCliHarness,
} from "../testing/cli_harness.ts";
import { EXIT_CODES } from "./exit_codes.ts";

test("apply prints the diff and the new version of the table", async (t) => {
  const { storedText, apply } = await startCliHarness(t);
  const { code, out } = await apply(routesText(3));
  assert.equal(code, EXIT_CODES.applied);
  assert.match(out, /\+ {4}"r2": \{/);
  assert.match(out, /routes: applied, edit .*, version 2/);
  assert.equal(storedText(), routesText(3));
});

test("a write that took effect is reported as applied although its answer was lost", async (t) => {
  const { platform, storedText, apply } = await startCliHarness(t);
  platform.setFaults({ loseWriteAnswersCount: 1 });
  const { code, out } = await apply(routesText(3), "--json");
  assert.equal(code, EXIT_CODES.applied);
  assert.equal(JSON.parse(out).edits[0].outcome, "applied");
  assert.equal(storedText(), routesText(3));
});

test("a write that was lost on its way is reported as not applied", async (t) => {
  const { platform, storedText, apply } = await startCliHarness(t);
  platform.setFaults({ dropWritesCount: 1 });
  const { code, out } = await apply(routesText(3), "--json");
  assert.equal(code, EXIT_CODES.notApplied);
  assert.equal(JSON.parse(out).edits[0].outcome, "not-applied");
  assert.notEqual(storedText(), routesText(3));
});

// The tables are read before any write, so nothing was written.
test("apply exits with an error when the platform does not answer", async (t) => {
  const { platform, apply } = await startCliHarness(t);
  platform.setFaults({ down: true });
  const { code, err } = await apply(routesText(3));
  assert.equal(code, EXIT_CODES.error);
  assert.match(err, /Platform does not answer/);
});

test("apply prints mistakes in the pair of tables with file, line and column", async (t) => {
  const { storedText, apply } = await startCliHarness(t);
  const text = routesText(2).replace('"pool": "logbook"', '"pool": "nowhere"');
  const { code, err } = await apply(text);
  assert.equal(code, EXIT_CODES.badInput);
  assert.match(
    err,
    /routes\.jsonc:8:15: routes\.r0\.pool: Pool "nowhere" does not exist\n$/,
  );
  assert.notEqual(storedText(), text);
});

test("an unknown option is reported as bad input in one line", async () => {
  const { code, err } = await runTool("apply", "--unknown");
  assert.equal(code, EXIT_CODES.badInput);
  assert.match(err, /^arguments: .*"--unknown".*\n$/);
});

test("a timeout that is not a number is rejected before any write", async (t) => {
  const { apply, storedText } = await startCliHarness(t);
  const { code } = await apply(routesText(3), "--wait-timeout", "soon");
  assert.equal(code, EXIT_CODES.badInput);
  assert.notEqual(storedText(), routesText(3));
});

test("apply --wait times out when no acceptor accepts the tables", async (t) => {
  const { apply } = await startCliHarness(t);
  const wait = ["--wait", "--wait-timeout", "0.1"];
  const { code, err } = await apply(routesText(3), ...wait);
  assert.equal(code, EXIT_CODES.timeout);
  assert.match(err, /No acceptor accepted the tables/);
});

test("a timeout lists only the daemons that lag", async (t) => {
  const { put, apply } = await startCliHarness(t);
  put("config", "accepted", {
    head: { generation: 7, digest: "0".repeat(64) },
    versions: { routes: 2, pools: 1 },
    snapshot: { slot: 0, chunksCount: 1 },
    acceptedBy: "a",
    acceptedEpochMs: 1,
  });
  const lagging = await serveStatus(t, sampleStatus("late", 6));
  const [, port] = lagging.split("127.0.0.1:");
  const current = sampleStatus("current", 7);
  current.members.push({
    instanceId: "late",
    incarnationEpochMs: 1,
    dataCentre: "dc-1",
    state: "alive",
    operator: { host: "127.0.0.1", port: Number(port) },
  });
  const url = await serveStatus(t, current);
  const wait = ["--wait", "--wait-timeout", "0.1", "--daemon", url];
  const { code, err } = await apply(routesText(3), ...wait);
  assert.equal(code, EXIT_CODES.timeout);
  assert.match(err, /In force in 1 of 2/);
  assert.match(err, new RegExp(`Lags: late at ${lagging}: generation 6\n$`));
});

test("apply --wait prints the reason when the acceptor refuses the edit", async (t) => {
  const { put, apply } = await startCliHarness(t);
  const reason = "Refused for the test";
  put("config", "status", {
    versions: { routes: 2, pools: 1 },
    result: "invalid",
    generation: 0,
    mistakes: [{ table: "routes", entry: "routes.r0", field: "", reason }],
  });
  const { code, err } = await apply(routesText(3), "--wait");
  assert.equal(code, EXIT_CODES.notApplied);
  assert.match(err, /Refused: routes: routes\.r0 : Refused for the test/);
});
