// A daemon gets SIGTERM while its clients read large answers.
import { createManifest, pause, runCase } from "../deployment.mjs";
import { send } from "../client.mjs";

const ROUTE_TIMEOUT_MS = 20_000;
const TIME_BUDGET_MS = 25_000;
const ROUTES = [{
  host: "video.example",
  prefix: "/bundle/",
  kind: "safe",
  service: "mediatheque",
  timeout: `${ROUTE_TIMEOUT_MS}ms`,
}];
const CLIENTS_COUNT = 3;
const INTERVAL_MS = 300;
/** Below the 33 MB that a daemon buffers at most of all answers together. */
const ANSWER_BYTES = 20_000_000;
/** A client's line of 40 Mbit/s; an answer takes a little over 4 s. */
const BYTES_PER_S = 5_000_000;
const TERM_AFTER_MS = 1_500;

/** Half of the time for a case, which has two programs. */
const DURATION_MAX_MS = 55_000;

await runCase(async (deployment, hasTrouble) => {
  await deployment.start({
    manifest: createManifest(ROUTES),
    machines: [
      { name: "m-logbook", service: "logbook", slots: 114 },
      { name: "m-media-1", service: "mediatheque", slots: 189 },
      { name: "m-media-2", service: "mediatheque", slots: 189 },
    ],
  });
  const [entry, ...others] = deployment.machines;
  for (const { endpoint } of others) {
    endpoint.chooseRun = () => ({
      workMs: 84,
      body: "x".repeat(ANSWER_BYTES),
    });
  }
  await pause(3_000);
  const results = [];
  for (let index = 0; index < CLIENTS_COUNT; index++) {
    results.push(send(entry, {
      host: "video.example",
      path: "/bundle/1",
      deadlineMs: TIME_BUDGET_MS,
      bytesPerS: BYTES_PER_S,
    }));
    await pause(INTERVAL_MS);
  }
  await pause(TERM_AFTER_MS - CLIENTS_COUNT * INTERVAL_MS);
  if (hasTrouble) {
    deployment.record("SIGTERM to the daemon of m-logbook");
    entry.child.kill("SIGTERM");
  }
  const answers = await Promise.all(results);
  deployment.recordResults(answers);
  const cut = answers.filter(({ isComplete }) => !isComplete);
  const runs = others.flatMap(({ endpoint }) => endpoint.runs);
  deployment.record(
    `${answers.length} requests, ${runs.length} runs, ` +
      `${
        runs.filter(({ outcome }) => outcome === "answered").length
      } answered ` +
      `by their endpoints; ${cut.length} without a complete answer`,
  );
  return cut.length > 0;
}, { durationMaxMs: DURATION_MAX_MS });
