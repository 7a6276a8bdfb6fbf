// A daemon is started again; then the endpoint beside it says that it leaves, and
// its last check-in arrives late.
import { BOUNDS, createManifest, pause, runCase } from "../deployment.mjs";
import { send } from "../client.mjs";

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
const INTERVAL_MS = 20;
const DRAIN_MS = parseInt(BOUNDS.drain);
const STABILITY_WINDOW_MS = parseInt(BOUNDS.stability_window);
/** Time from the start of the daemon's process until the endpoint leaves. */
const LEAVE_AFTER_READY_MS = 500;
/** Delay of the check-in that the endpoint sent before it left. */
const LATE_MS = 1_500;
/** Time for which the endpoint serves after the acknowledgement. */
const SERVE_AFTER_LEAVE_MS = 8_000;

await runCase(async (deployment, hasTrouble) => {
  await deployment.start({
    manifest: createManifest(ROUTES),
    machines: [
      { name: "m-logbook", service: "logbook", slots: 114, zone: ZONE },
      { name: "m-certify-1", service: "certify", slots: 189, zone: ZONE },
      { name: "m-certify-2", service: "certify", slots: 189, zone: ZONE },
    ],
  });
  const [entry, one, ...others] = deployment.machines;
  for (const { endpoint } of [one, ...others]) {
    endpoint.chooseRun = () => ({ workMs: WORK_MS });
  }
  const results = [];
  let isSending = true;
  const sending = (async () => {
    while (isSending) {
      results.push(send(entry, {
        host: "vote.example",
        path: "/cast/1",
        method: "POST",
        body: "x".repeat(300),
        deadlineMs: TIME_BUDGET_MS,
      }));
      await pause(INTERVAL_MS);
    }
  })();
  await pause(4_000);

  one.stopHeartbeats();
  one.child.kill("SIGTERM");
  await one.exited;
  one.startDaemon();
  await deployment.untilReady(one);
  const startedMs = performance.now();
  deployment.record("daemon of m-certify-1 is ready again");
  if (!hasTrouble) {
    // The same check-in, in time.
    deployment.record(`check-in: ${await one.heartbeat()}`);
  }
  await pause(LEAVE_AFTER_READY_MS);
  const lateSequence = ++one.sequence;
  const status = await one.deregister();
  const leftMs = performance.now();
  one.endpoint.isLeaving = true;
  deployment.record(`endpoint ${one.endpoint.id} leaves: answer ${status}`);
  if (hasTrouble) {
    await pause(LATE_MS);
    const late = await one.heartbeat({ sequence: lateSequence });
    deployment.record(`check-in of before that arrives late: ${late}`);
  }
  await pause(SERVE_AFTER_LEAVE_MS - (performance.now() - leftMs));
  const boundMs = Math.max(leftMs + DRAIN_MS, startedMs + STABILITY_WINDOW_MS);
  const late = one.endpoint.runs.filter(({ atMs }) => atMs > boundMs);
  one.endpoint.close();
  deployment.record(`endpoint ${one.endpoint.id} ends`);
  await pause(500);
  isSending = false;
  await sending;
  const answers = await Promise.all(results);
  deployment.recordResults(answers);
  const lost = one.endpoint.runs.filter(({ outcome }) => outcome === "dropped");
  const statuses = lost.map(({ requestId }) =>
    answers.find(({ id }) => id === requestId)?.status
  );
  deployment.record(
    `${late.length} requests reached the endpoint later than ${DRAIN_MS} ms ` +
      "after the acknowledgement, and after its daemon was in touch again",
  );
  deployment.record(
    `${lost.length} were running when it ended; their answers: ${statuses}`,
  );
  return status === 200 && late.length > 0;
});
