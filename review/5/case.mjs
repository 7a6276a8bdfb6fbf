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
    host: "video.example",
    prefix: "/bundle/",
    kind: "safe",
    service: "mediatheque",
    timeout: "20000ms",
  },
  {
    host: "vote.example",
    prefix: "/cast/",
    kind: "unsafe",
    service: "mediatheque",
    timeout: "1000ms",
  },
];
const ANSWER_BYTES = 20_000_000;
const READERS_COUNT = 20;
const READERS_INTERVAL_MS = 200;
/** A line of 16 Mbit/s; an answer takes 10 s. */
const BYTES_PER_S = 2_000_000;
const TIME_BUDGET_MS = 25_000;
const VOTES_INTERVAL_MS = 20;
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
      { name: "m-logbook", service: "logbook", slots: 114 },
      { name: "m-media-1", service: "mediatheque", slots: 189 },
      { name: "m-media-2", service: "mediatheque", slots: 189 },
    ],
  });
  const [entry, ...others] = deployment.machines;
  const body = Buffer.alloc(ANSWER_BYTES, "x");
  for (const { endpoint } of others) {
    endpoint.chooseRun = ({ path }) =>
      path.startsWith("/bundle/") ? { workMs: 84, body } : { workMs: WORK_MS };
  }
  let peakMb = 0;
  const platform = setInterval(() => {
    const nowMb = memoryMb(entry.child);
    peakMb = Math.max(peakMb, nowMb);
    if (nowMb > MEMORY_MAX_MB && !entry.child.killed) {
      deployment.record(
        `the platform kills the daemon of m-logbook: ${Math.round(nowMb)} MB`,
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
  const votes = [];
  let isSending = true;
  const sending = (async () => {
    while (isSending && !hasEnded) {
      votes.push(send(entry, {
        host: "vote.example",
        path: "/cast/1",
        method: "POST",
        body: "x".repeat(300),
        deadlineMs: 6_000,
        agent,
      }));
      await pause(VOTES_INTERVAL_MS);
    }
  })();
  const readers = [];
  for (let index = 0; index < READERS_COUNT && !hasEnded; index++) {
    readers.push(send(entry, {
      host: "video.example",
      path: "/bundle/1",
      deadlineMs: TIME_BUDGET_MS,
      bytesPerS: hasTrouble ? BYTES_PER_S : Infinity,
    }));
    await pause(READERS_INTERVAL_MS);
  }
  const files = await Promise.all(readers);
  isSending = false;
  await sending;
  const answers = await Promise.all(votes);
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
    `${answers.length} votes on kept connections; ${cut.length} were passed ` +
      "on to a sound endpoint and their connection ended without an answer",
  );
  return cut.length > CUT_MAX_COUNT;
});
