// Clients send votes throughout the grace period of a daemon; endpoints call the
// same route.
import { createManifest, pause, runCase } from "../deployment.mjs";
import { send } from "../client.mjs";

const route = (host, service, kind) => ({
  host,
  prefix: "/p/",
  kind,
  service,
  timeout: "1000ms",
});
const ROUTES = [
  route("posture.example", "logbook", "safe"),
  route("vote.example", "certify", "unsafe"),
];
const TIME_BUDGET_MS = 5_000;
const WORK_MS = 160;
const VOTES_INTERVAL_MS = 20;
const POSTURES_INTERVAL_MS = 100;
const BEFORE_MS = 5_000;
const AFTER_MS = 8_000;
const CLOSE_MS = 3_000;

/** Half of the time for a case, which has two programs. */
const DURATION_MAX_MS = 55_000;

await runCase(async (deployment, hasTrouble) => {
  await deployment.start({
    manifest: createManifest(ROUTES),
    machines: [
      { name: "m-logbook-1", service: "logbook", slots: 114 },
      { name: "m-certify-1", service: "certify", slots: 189 },
      { name: "m-certify-2", service: "certify", slots: 189 },
    ],
  });
  const [entry, ...certify] = deployment.machines;
  entry.endpoint.chooseRun = () => ({
    workMs: WORK_MS,
    calls: [{ host: "vote.example", path: "/p/called" }],
  });
  for (const { endpoint } of certify) {
    endpoint.chooseRun = () => ({ workMs: WORK_MS });
  }
  const startMs = performance.now();
  let termMs = Infinity;
  const votes = [];
  const postures = [];
  while (performance.now() < startMs + BEFORE_MS + AFTER_MS) {
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs > BEFORE_MS && termMs === Infinity) {
      termMs = performance.now();
      if (hasTrouble) {
        deployment.record("SIGTERM to the daemon of m-logbook-1");
        entry.child.kill("SIGTERM");
      }
    }
    while (votes.length * VOTES_INTERVAL_MS < elapsedMs) {
      votes.push(send(entry, {
        host: "vote.example",
        path: "/p/1",
        method: "POST",
        body: "x".repeat(300),
        deadlineMs: TIME_BUDGET_MS,
      }));
    }
    while (
      termMs === Infinity && postures.length * POSTURES_INTERVAL_MS < elapsedMs
    ) {
      postures.push(send(entry, {
        host: "posture.example",
        path: "/p/1",
        deadlineMs: TIME_BUDGET_MS,
      }));
    }
    await pause(5);
  }
  const answers = await Promise.all(votes);
  deployment.recordResults([...await Promise.all(postures), ...answers]);
  const ranIds = new Set(
    certify.flatMap(({ endpoint }) =>
      endpoint.runs.map(({ requestId }) => requestId)
    ),
  );
  const late = answers.filter(({ sentMs }) => sentMs > termMs + CLOSE_MS);
  const cut = late.filter(({ id, isComplete }) =>
    ranIds.has(id) && !isComplete
  );
  deployment.record(
    `${late.length} votes were sent later than ${CLOSE_MS} ms after SIGTERM; ` +
      `${late.filter(({ status }) => status === 503).length} were refused, ` +
      `${late.filter(({ status }) => status === 200).length} served`,
  );
  deployment.record(
    `${cut.length} of them were passed on to an endpoint, and their connection ` +
      "ended without an answer",
  );
  return cut.length > 0;
}, { durationMaxMs: DURATION_MAX_MS });
