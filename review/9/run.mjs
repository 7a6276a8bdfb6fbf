/** Public requests around the restart of a daemon, in a deployment with tenants. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { newAttemptId, send } from "../client_2.mjs";
import {
  createManifest,
  startDeployment,
  startTraffic,
} from "../deployment_2.mjs";
import { pause, runScript } from "../script_2.mjs";

/** With TROUBLE=0 the script does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== "0";
const RECORD_FILE = new URL("record.txt", import.meta.url);
const KEY = "tta828m82thhkmgjqnir";
const TENANT = "pulo780";
const KEYED = { routeHost: "hulo84.example", path: "/leny950/2f", key: KEY };
const PUBLIC = { routeHost: "jepu9.example", path: "/puka111/2f" };
const KEYED_PER_S = 80;
const PUBLIC_PER_S = 100;
const manifest = createManifest({
  tenants: [{
    name: TENANT,
    api_keys: [KEY],
    priority: 1,
    rate_per_s: 0,
    burst: 0,
  }],
  rules: [
    {
      host: KEYED.routeHost,
      prefix: "/leny950/",
      kind: "safe",
      service: "huvo11a",
    },
    {
      host: PUBLIC.routeHost,
      prefix: "/puka111/",
      kind: "safe",
      isPublic: true,
      service: "lovo22d",
    },
  ],
});

const { text, exitCode } = await runScript(async (script) => {
  const { record } = script;
  const { machines } = await startDeployment(script, {
    manifest,
    endpoints: [
      { service: "huvo11a", workMs: 400 },
      { service: "huvo11a", workMs: 400 },
      { service: "lovo22d", workMs: 20 },
    ],
  });
  const [first] = machines;
  // Clients of a machine whose daemon is not ready get no new work.
  let isFirstReady = true;
  const counts = new Map();
  const count = (name, { status }) => {
    const key = `${name} requests answered ${status}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  };
  const publicIds = new Set();
  const stopKeyed = machines.map((machine) =>
    startTraffic(
      KEYED_PER_S / machines.length,
      () =>
        machine === first && !isFirstReady ? undefined : send(
          machine.daemon.outbound,
          { ...KEYED, id: newAttemptId(), deadlineMs: 5_001 },
        ).then((answer) => count("keyed", answer)),
    )
  );
  await pause(4_000);
  const stopPublic = startTraffic(PUBLIC_PER_S, () => {
    if (!isFirstReady) {
      return undefined;
    }
    const id = newAttemptId();
    publicIds.add(id);
    return send(first.daemon.outbound, { ...PUBLIC, id, deadlineMs: 1_000 })
      .then((answer) => count("public", answer));
  });
  await pause(4_000);
  if (isTroubled) {
    isFirstReady = false;
    await first.daemon.stop("SIGKILL");
    record("killed the daemon of machine 1");
    await pause(500);
    first.daemon.start();
    await first.daemon.waitUntilReady();
    record("the daemon of machine 1 is ready again");
    isFirstReady = true;
  }
  await pause(8_000);
  await Promise.all([stopPublic(), ...stopKeyed.map((stop) => stop())]);

  const runs = machines.flatMap(({ endpoint }) => endpoint.runs);
  const publicRuns = runs.filter(({ attemptId }) => publicIds.has(attemptId));
  for (const [text, number] of counts) {
    record(`${text}: ${number}`);
  }
  record(`runs: ${runs.length}, of public requests: ${publicRuns.length}`);
  return publicRuns.filter(({ tenant }) => tenant !== undefined)
    .map(({ attemptId, endpoint, tenant }) =>
      `${endpoint} ran the public request ${attemptId}, sent without a key, ` +
      `with Tenant-Name: ${tenant}`
    );
});
writeFileSync(RECORD_FILE, text);
process.exit(exitCode);
