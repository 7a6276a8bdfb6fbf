/** Tests of crowds of callers that take the memory or the descriptors. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { CROWD_BODY_MAX_BYTES, CROWD_KINDS } from "../testing/caller_crowd.ts";
import { assertWithstandsCrowd } from "../testing/withstand_crowd.ts";
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
    machine: {
      memoryMaxBytes: MEMORY_MAX_BYTES,
      descriptorsMaxCount: DESCRIPTORS_MAX_COUNT,
    },
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

// Guards against a process that ends, exceeds the limits of its machine or no
// longer answers because of callers that are not under the operator's control.
for (const kind of CROWD_KINDS) {
  test(`a product daemon withstands a crowd of callers (${kind})`, async (t) => {
    const { child, callers } = await startDaemon(t);
    await assertWithstandsCrowd(t, kind, {
      child,
      address: callers,
      ordinaryPath: "/uploads/ordinary",
      ordinaryHeaders: () => ({}),
      headLines: ["POST /uploads/crowd-{index} HTTP/1.1", "Host: x"],
      memoryMaxBytes: MEMORY_MAX_BYTES,
      descriptorsMaxCount: DESCRIPTORS_MAX_COUNT,
    });
  });
}
