/** Tests of crowds of callers that take the memory or the descriptors. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { request } from "node:http";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import type { Address } from "../schemas/common_schema.ts";
import {
  CROWD_BODY_MAX_BYTES,
  CROWD_KINDS,
  openCrowd,
} from "../testing/caller_crowd.ts";
import { ProcessWatch } from "../testing/process_watch.ts";
import { parseDaemonReadyLine } from "../../stand_ins/ready_lines.ts";
import { UpstreamServer } from "../../stand_ins/upstream_server.ts";
import { upstreamSettingsSchema } from "../../stand_ins/upstream_settings.ts";

const PROGRAM = fileURLToPath(
  new URL("../testing/daemon_program.js", import.meta.url),
);
const NODE_FLAGS = ["--max-old-space-size=160", "--max-semi-space-size=16"];
const SLOTS_COUNT = 50;
const UPSTREAM_CONNECTIONS_MAX_COUNT = 100;
const MEMORY_MAX_BYTES = 200_000_000;
/** Fewer than the callers of a crowd and the connections to the upstream. */
const DESCRIPTORS_MAX_COUNT = 350;
/** Mean size of an upload in the deployments, in bytes. */
const UPLOAD_BYTES = 60_000;
const ORDINARY_TIMEOUT_MS = 30_000;
/** Tries of an ordinary request that is refused as not run, and their distance. */
const TRIES_MAX_COUNT = 20;
const RETRY_MS = 250;

async function startDaemon(t: TestContext) {
  const upstream = new UpstreamServer(upstreamSettingsSchema.parse({
    pool: "catalogue",
    behaviour: { slotsCount: SLOTS_COUNT },
  }));
  t.after(() => upstream.stop());
  const { port } = await upstream.start();
  const options = {
    upstreamPort: port,
    slotsCount: SLOTS_COUNT,
    connectionsMaxCount: UPSTREAM_CONNECTIONS_MAX_COUNT,
    bodyMaxBytes: CROWD_BODY_MAX_BYTES,
  };
  const child = spawn(
    process.execPath,
    [...NODE_FLAGS, PROGRAM, JSON.stringify(options)],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  t.after(() => child.kill("SIGKILL"));
  const [line] = await once(child.stdout, "data");
  const { callers } = parseDaemonReadyLine(JSON.parse(String(line)));
  return { child, callers };
}

/** Sends one ordinary upload. Returns its status, or 0 without an answer. */
function sendOrdinary(address: Address): Promise<number> {
  return new Promise((resolve) => {
    const sent = request({
      ...address,
      method: "POST",
      path: "/uploads/ordinary",
      agent: false,
      timeout: ORDINARY_TIMEOUT_MS,
    }, (answer) => {
      answer.resume();
      answer.on("close", () => resolve(answer.statusCode ?? 0));
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(0));
    sent.end("x".repeat(UPLOAD_BYTES));
  });
}

/** Sends one ordinary upload, again after each refusal. Returns its status. */
async function sendUntilRun(address: Address): Promise<number> {
  let status = 0;
  for (let index = 0; index < TRIES_MAX_COUNT; index++) {
    status = await sendOrdinary(address);
    if (status !== 503) {
      break;
    }
    await delay(RETRY_MS);
  }
  return status;
}

// Guards against a process that ends, exceeds the limits of its machine or no
// longer answers because of callers that are not under the operator's control.
for (const kind of CROWD_KINDS) {
  test(`a product daemon withstands a crowd of callers (${kind})`, async (t) => {
    const { child, callers } = await startDaemon(t);
    assert.equal(await sendOrdinary(callers), 200);
    const watch = new ProcessWatch(child);
    await openCrowd(t, callers, {
      kind,
      headLines: ["POST /uploads/crowd-{index} HTTP/1.1", "Host: x"],
    });
    const status = await sendUntilRun(callers);
    const { memoryBytes, descriptorsCount } = watch.stop();
    t.diagnostic(
      `${kind}: ${memoryBytes / 1_000_000} MB, ${descriptorsCount} ` +
        `descriptors, alive ${watch.isAlive}, ordinary request ${status}`,
    );
    assert.ok(watch.isAlive, "the process has ended");
    assert.equal(status, 200);
    assert.ok(memoryBytes < MEMORY_MAX_BYTES, `${memoryBytes} bytes`);
    assert.ok(
      descriptorsCount < DESCRIPTORS_MAX_COUNT,
      `${descriptorsCount} descriptors`,
    );
  });
}
