// An endpoint fails a part of its requests after it has worked on them, with 503
// and without Not-Executed.
import { createManifest, pause, runCase } from "../lib/deployment.mjs";
import { send } from "../lib/client.mjs";

const ROUTES = [{
  host: "vote.example",
  prefix: "/cast/",
  kind: "unsafe",
  service: "certify",
  timeout: "1000ms",
}];
const ZONE = "dakar-plateau";
const TIME_BUDGET_MS = 5_000;
const WORK_MS = 160;
const DURATION_MS = 14_000;
const INTERVAL_MS = 1_000 / 93;
/** As in the site file: 0.45 of the requests, for 6.5 s. */
const FAILED_RATIO = 0.45;
const FAILED_FROM_MS = 3_000;
const FAILED_FOR_MS = 6_500;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

/** Sends one vote, and once more after a promise, as the site's clients do. */
async function vote(machine, number) {
  const cast = () =>
    send(machine, {
      host: "vote.example",
      path: `/cast/${number}`,
      method: "POST",
      body: "x".repeat(300),
      deadlineMs: TIME_BUDGET_MS,
    });
  const first = await cast();
  if (!PROMISES.includes(first.status)) {
    return [first];
  }
  await pause(Number(first.headers["retry-after"] ?? 0) * 1_000);
  return [first, await cast()];
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  await deployment.start({
    manifest: createManifest(ROUTES),
    machines: [
      { name: "m-logbook", service: "logbook", slots: 114, zone: ZONE },
      { name: "m-certify-1", service: "certify", slots: 189, zone: ZONE },
      { name: "m-certify-2", service: "certify", slots: 189, zone: ZONE },
    ],
  });
  const [entry, grey, other] = deployment.machines;
  const startMs = performance.now();
  const fromMs = startMs + FAILED_FROM_MS;
  grey.endpoint.chooseRun = ({ atMs }) => ({
    workMs: WORK_MS,
    status: hasTrouble && atMs >= fromMs && atMs < fromMs + FAILED_FOR_MS &&
        Math.random() < FAILED_RATIO
      ? 503
      : 200,
  });
  other.endpoint.chooseRun = () => ({ workMs: WORK_MS });
  const votes = [];
  while (performance.now() < startMs + DURATION_MS) {
    votes.push(vote(entry, votes.length));
    await pause(startMs + votes.length * INTERVAL_MS - performance.now());
  }
  const results = await Promise.all(votes);
  deployment.recordResults(results.flat());
  const runs = deployment.machines.flatMap(({ endpoint }) => endpoint.runs);
  const ranIds = new Set(runs.map(({ requestId }) => requestId));
  const broken = results.flat().filter(({ id, status }) =>
    PROMISES.includes(status) && ranIds.has(id)
  );
  const twice = results.filter((attempts) =>
    attempts.filter(({ id }) => ranIds.has(id)).length > 1
  );
  deployment.record(
    `${results.length} votes; ${broken.length} requests were answered with a ` +
      "promise that they have not run, and had run",
  );
  deployment.record(
    `${twice.length} votes were cast twice, because their clients trusted it`,
  );
  return broken.length > 0;
});
