/** A product daemon in a process of its own, beside an upstream, for tests. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import type { TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { parseDaemonReadyLine } from "./ready_lines.ts";
import { UpstreamServer } from "./upstream_server.ts";
import { upstreamSettingsSchema } from "./upstream_settings.ts";
import type { Address } from "../src/schemas/common_schema.ts";
import { CROWD_BODY_MAX_BYTES } from "../src/testing/caller_crowd.ts";

const PROGRAM = fileURLToPath(
  new URL("../src/testing/daemon_program.js", import.meta.url),
);
const NODE_FLAGS = ["--max-old-space-size=160", "--max-semi-space-size=16"];
const SLOTS_COUNT = 50;
const UPSTREAM_CONNECTIONS_MAX_COUNT = 100;

/** A daemon process and the upstream beside it. */
export type ProductDaemonProcess = {
  readonly child: ChildProcess;
  readonly upstream: UpstreamServer;
  /** Listener for callers. */
  readonly callers: Address;
};

/**
 * Starts a daemon as a process beside an upstream of the pool `catalogue`, with
 * the route `POST /uploads`. Both end with the test.
 *
 * @param t Test that owns them.
 * @param machine Limits of the machine.
 * @returns The process and its upstream.
 */
export async function startProductDaemonProcess(
  t: TestContext,
  machine: { memoryMaxBytes: number; descriptorsMaxCount: number },
): Promise<ProductDaemonProcess> {
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
    machine,
  };
  const child = spawn(
    process.execPath,
    [...NODE_FLAGS, PROGRAM, JSON.stringify(options)],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  t.after(() => child.kill("SIGKILL"));
  const [line] = await once(child.stdout, "data");
  const { callers } = parseDaemonReadyLine(JSON.parse(String(line)));
  return { child, upstream, callers };
}
