import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { PlatformServer } from "../../stand_ins/platform_server.ts";
import { sampleTables } from "../testing/config_bed.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { runCli } from "./run_cli.ts";

async function startBed(t: TestContext) {
  const platform = new PlatformServer();
  const url = `http://127.0.0.1:${await platform.listen(0)}`;
  const folder = mkdtempSync(join(tmpdir(), "goldcrestrelay-"));
  t.after(async () => {
    rmSync(folder, { recursive: true });
    await platform.close();
  });
  const tables = sampleTables();
  for (const name of ["routes", "pools"] as const) {
    const editId = `first ${name}`;
    const value = {
      editId,
      recentEditIds: [editId],
      text: JSON.stringify(tables[name]),
    };
    const key = { kind: "tables", name };
    platform.store.write(key, value, { expectedVersion: "absent" });
  }
  const apply = async (routesText: string, ...args: string[]) => {
    const file = join(folder, "routes.jsonc");
    writeFileSync(file, routesText);
    return await run("apply", "--platform", url, "--routes", file, ...args);
  };
  return { platform, url, apply };
}

async function run(...args: string[]) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const texts = Promise.all([text(stdout), text(stderr)]);
  const code = await runCli(args, { stdout, stderr });
  stdout.end();
  stderr.end();
  const [out, err] = await texts;
  return { code, out, err };
}

function routesText(count: number): string {
  return JSON.stringify(sampleTables(count).routes, undefined, 2);
}

function storedRoutes(platform: PlatformServer) {
  return platform.store.read({ kind: "tables", name: "routes" }) as {
    version: number;
    value: { text: string };
  };
}

test("an applied edit shows its difference and its version", async (t) => {
  const { platform, apply } = await startBed(t);
  const { code, out } = await apply(routesText(3));
  assert.equal(code, EXIT_CODES.applied);
  assert.match(out, /\+ {4}"r2": \{/);
  assert.match(out, /routes: applied, edit .*, version 2/);
  assert.equal(storedRoutes(platform).value.text, routesText(3));
});

test("an answer lost after the write took effect is reported as applied", async (t) => {
  const { platform, apply } = await startBed(t);
  platform.setFaults({ loseWriteAnswersCount: 1 });
  const { code, out } = await apply(routesText(3), "--json");
  assert.equal(code, EXIT_CODES.applied);
  assert.equal(JSON.parse(out).edits[0].outcome, "applied");
  assert.equal(storedRoutes(platform).version, 2);
});

test("a write lost before it took effect is reported as not applied", async (t) => {
  const { platform, apply } = await startBed(t);
  platform.setFaults({ dropWritesCount: 1 });
  const { code, out } = await apply(routesText(3), "--json");
  assert.equal(code, EXIT_CODES.notApplied);
  assert.equal(JSON.parse(out).edits[0].outcome, "not-applied");
  assert.equal(storedRoutes(platform).version, 1);
});

test("without a platform nothing was written", async (t) => {
  const { platform, apply } = await startBed(t);
  platform.setFaults({ down: true });
  const { code, err } = await apply(routesText(3));
  assert.equal(code, EXIT_CODES.error);
  assert.match(err, /Platform does not answer/);
});

test("mistakes of a pair are printed with file, line and column", async (t) => {
  const { platform, apply } = await startBed(t);
  const { code, err } = await apply(
    routesText(2).replace('"pool": "logbook"', '"pool": "nowhere"'),
  );
  assert.equal(code, EXIT_CODES.badInput);
  assert.match(
    err,
    /routes\.jsonc:8:15: routes\.r0\.pool: Pool "nowhere" does not exist\n$/,
  );
  assert.equal(storedRoutes(platform).version, 1);
});

test("an unknown option is bad input", async () => {
  assert.equal((await run("apply", "--unknown")).code, EXIT_CODES.badInput);
});

test("waiting names why the configuration is not in force", async (t) => {
  const { apply } = await startBed(t);
  const { code, err } = await apply(
    routesText(3),
    "--wait",
    "--wait-timeout",
    "0.1",
  );
  assert.equal(code, EXIT_CODES.timeout);
  assert.match(err, /No acceptor accepted the tables/);
});
