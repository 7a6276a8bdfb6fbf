/** Test harness of the command-line tool. */
import { createServer } from "node:http";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { text } from "node:stream/consumers";
import type { TestContext } from "node:test";
import { runCli } from "../cli/run_cli.ts";
import type { Status } from "../schemas/status_schema.ts";
import { PlatformServer } from "../../stand_ins/platform_server.ts";
import { sampleTables } from "./config_harness.ts";

/** Exit code and output of one command. */
export type CliResult = { code: number; out: string; err: string };

/** Runs the command-line tool in this process and collects its output. */
export async function runTool(...args: string[]): Promise<CliResult> {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const texts = Promise.all([text(stdout), text(stderr)]);
  const code = await runCli(args, { stdout, stderr });
  stdout.end();
  stderr.end();
  const [out, err] = await texts;
  return { code, out, err };
}

/** Text of a table of routes with `count` routes, as an operator writes it. */
export function routesText(count: number): string {
  return JSON.stringify(sampleTables(count).routes, undefined, 2);
}

/** Starts a platform stand-in that stores the sample tables. */
export async function startCliHarness(t: TestContext) {
  const platform = new PlatformServer();
  const url = `http://127.0.0.1:${await platform.listen(0)}`;
  const folder = mkdtempSync(join(tmpdir(), "goldcrestrelay-"));
  t.after(async () => {
    rmSync(folder, { recursive: true });
    await platform.close();
  });
  const put = (kind: string, name: string, value: unknown) => {
    const version = platform.store.read({ kind, name })?.version ?? "absent";
    platform.store.write({ kind, name }, value, { expectedVersion: version });
  };
  for (const [name, table] of Object.entries(sampleTables())) {
    const editId = `first ${name}`;
    const stored = { editId, recentEditIds: [editId] };
    put("tables", name, { ...stored, text: JSON.stringify(table) });
  }
  const writeFile = (name: string, content: string) => {
    const path = join(folder, name);
    writeFileSync(path, content);
    return path;
  };
  const apply = (routes: string, ...args: string[]) => {
    const file = writeFile("routes.jsonc", routes);
    return runTool("apply", "--platform", url, "--routes", file, ...args);
  };
  const storedText = () => {
    const object = platform.store.read({ kind: "tables", name: "routes" });
    return (object?.value as { text: string }).text;
  };
  return { platform, url, put, apply, writeFile, storedText };
}

/** Status of a ready daemon with the given configuration generation in force. */
export function sampleStatus(instanceId: string, generation: number): Status {
  return {
    instanceId,
    incarnationEpochMs: 1,
    dataCentre: "dc-1",
    state: "ready",
    config: { generation, digest: "", confirmedAgeMs: 1_500, applied: [] },
    members: [],
    leases: [],
    admission: { level: 512, inFlightCount: 3, limitCount: 30, queueCount: 0 },
    counters: [],
  };
}

/**
 * Starts an operator listener that answers every request with a fixed status.
 *
 * @param t Test that owns the listener.
 * @param status Status to answer.
 * @param requests Receives method and path of each request.
 * @returns URL of the listener.
 */
export async function serveStatus(
  t: TestContext,
  status: Status,
  requests: string[] = [],
): Promise<string> {
  const server = createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
    response.end(JSON.stringify(status));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
