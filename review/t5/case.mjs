// Clients read large answers slowly, and a daemon holds more than its memory.
import { Agent } from "node:http";
import { spawnSync } from "node:child_process";
import { createManifest, pause, runCase } from "../lib/deployment.mjs";
import { send } from "../lib/client.mjs";

/** Memory of a process, `memory_mb` of the site file. */
const MEMORY_MAX_MB = 350;
const MEMORY_CHECK_MS = 100;
const ROUTES = [
  {
    host: "press.example",
    prefix: "/file/",
    kind: "safe",
    service: "pressfiles",
    timeout: "20000ms",
  },
  {
    host: "proof.example",
    prefix: "/approve/",
    kind: "unsafe",
    service: "pressfiles",
    timeout: "1000ms",
  },
];
const ANSWER_BYTES = 20_000_000;
const READERS_COUNT = 20;
const READERS_INTERVAL_MS = 200;
/** A line of 16 Mbit/s; an answer takes 10 s. */
const BYTES_PER_S = 2_000_000;
const TIME_BUDGET_MS = 25_000;
const APPROVALS_INTERVAL_MS = 20;
const WORK_MS = 160;
const KEPT_CONNECTIONS_COUNT = 20;
/** More than three such requests break the rule. */
const CUT_MAX_COUNT = 3;

/** Memory of a process in MB; 0 when it has ended. */
function memoryMb({ pid }) {
  const { stdout } = spawnSync("ps", ["-o", "rss=", "-p", String(pid)]);
  return Number(stdout.toString()) / 1_024;
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  await deployment.start({
    manifest: createManifest(ROUTES),
    machines: [
      { name: "m-proofs", service: "proofs", slots: 82 },
      { name: "m-press-1", service: "pressfiles", slots: 82 },
      { name: "m-press-2", service: "pressfiles", slots: 82 },
    ],
  });
  const [entry, ...others] = deployment.machines;
  const body = Buffer.alloc(ANSWER_BYTES, "x");
  for (const { endpoint } of others) {
    endpoint.chooseRun = ({ path }) =>
      path.startsWith("/file/") ? { workMs: 84, body } : { workMs: WORK_MS };
  }
  let peakMb = 0;
  const platform = setInterval(() => {
    const nowMb = memoryMb(entry.child);
    peakMb = Math.max(peakMb, nowMb);
    if (nowMb > MEMORY_MAX_MB && !entry.child.killed) {
      deployment.record(
        `the platform kills the daemon of m-proofs: ${Math.round(nowMb)} MB`,
      );
      entry.child.kill("SIGKILL");
    }
  }, MEMORY_CHECK_MS);
  let hasEnded = false;
  entry.child.once("exit", () => hasEnded = true);

  const agent = new Agent({
    keepAlive: true,
    maxSockets: KEPT_CONNECTIONS_COUNT,
  });
  const approvals = [];
  let isSending = true;
  const sending = (async () => {
    while (isSending && !hasEnded) {
      approvals.push(send(entry, {
        host: "proof.example",
        path: "/approve/1",
        method: "POST",
        body: "x".repeat(300),
        deadlineMs: 6_000,
        agent,
      }));
      await pause(APPROVALS_INTERVAL_MS);
    }
  })();
  const readers = [];
  for (let index = 0; index < READERS_COUNT && !hasEnded; index++) {
    readers.push(send(entry, {
      host: "press.example",
      path: "/file/1",
      deadlineMs: TIME_BUDGET_MS,
      bytesPerS: hasTrouble ? BYTES_PER_S : Infinity,
    }));
    await pause(READERS_INTERVAL_MS);
  }
  const files = await Promise.all(readers);
  isSending = false;
  await sending;
  const answers = await Promise.all(approvals);
  clearInterval(platform);
  agent.destroy();
  deployment.recordResults([...files, ...answers]);
  const ranIds = new Set(
    others.flatMap(({ endpoint }) =>
      endpoint.runs.map(({ requestId }) => requestId)
    ),
  );
  const cut = answers.filter(({ id, status }) =>
    status === 0 && ranIds.has(id)
  );
  deployment.record(
    `${files.filter(({ isComplete }) => isComplete).length} of ` +
      `${files.length} files arrived; peak memory ${Math.round(peakMb)} MB`,
  );
  deployment.record(
    `${answers.length} approvals on kept connections; ${cut.length} were passed ` +
      "on to a sound endpoint and their connection ended without an answer",
  );
  return cut.length > CUT_MAX_COUNT;
});
