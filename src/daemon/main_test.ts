import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { after, afterEach, test } from "node:test";
import { fileURLToPath } from "node:url";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";

const PROGRAM = fileURLToPath(new URL("./main.js", import.meta.url));
const ANY_PORT = { host: "127.0.0.1", port: 0 };
const folder = mkdtempSync(join(tmpdir(), "goldcrestrelayd-"));
const settingsFile = join(folder, "daemon.jsonc");
const children: ChildProcess[] = [];

after(() => rmSync(folder, { recursive: true }));
afterEach(() => children.splice(0).forEach((child) => child.kill("SIGKILL")));

function writeSettings(changes: Record<string, unknown> = {}): void {
  const settings = {
    instance: { id: "certify-1", dataCentre: "dakar-plateau" },
    listeners: ANY_PORT_LISTENERS,
    platform: { url: "http://127.0.0.1:9" },
    peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
    ...changes,
  };
  writeFileSync(settingsFile, JSON.stringify(settings, null, 2));
}

function start(...args: string[]) {
  const child = spawn(process.execPath, [PROGRAM, ...args]);
  children.push(child);
  return {
    child,
    stderr: text(child.stderr),
    exited: once(child, "exit").then(([code]) => code as number),
    firstLine: () =>
      once(child.stdout, "data").then(([data]) => JSON.parse(data)),
  };
}

test("each mistake in the settings is reported on one line with its position", async () => {
  writeSettings({ drainLimitMs: 0, instance: { id: "A", dataCentre: "a" } });
  const daemon = start(settingsFile);
  assert.equal(await daemon.exited, 2);
  const lines = (await daemon.stderr).trim().split("\n");
  assert.equal(lines.length, 2);
  for (const line of lines) {
    assert.match(line, /daemon\.jsonc:\d+:\d+: (instance\.id|drainLimitMs): /);
  }
});

test("missing arguments are a usage error, and --help exits with 0", async () => {
  assert.equal(await start().exited, 2);
  assert.equal(await start("--help").exited, 0);
});

test("a port in use closes the other listeners and ends the process with exit code 2", async () => {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  writeSettings({
    listeners: {
      callers: ANY_PORT,
      hop: ANY_PORT,
      outbound: ANY_PORT,
      peer: ANY_PORT,
      operator: { host: "127.0.0.1", port },
    },
  });
  const daemon = start(settingsFile);
  const exitCode = await daemon.exited;
  server.close();
  assert.equal(exitCode, 2);
  assert.match(
    await daemon.stderr,
    /^.*daemon\.jsonc: listeners: .*EADDRINUSE/,
  );
});

test("a reload with invalid keys keeps the current keys, and a second SIGTERM without open requests exits with 0", async () => {
  writeSettings();
  const daemon = start(settingsFile);
  const { listeners } = await daemon.firstLine();
  assert.notEqual(listeners.callers.port, 0);
  writeSettings({ peers: { keys: [] } });
  daemon.child.kill("SIGHUP");
  daemon.child.kill("SIGTERM");
  daemon.child.kill("SIGTERM");
  assert.equal(await daemon.exited, 0);
  assert.match(await daemon.stderr, /"Peer keys were not changed"/);
});
