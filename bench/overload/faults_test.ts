import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { v7 as createKey } from "uuid";
import { checkHistory } from "../../src/testing/check_history.ts";
import type { CallRecord } from "../../stand_ins/call_record.ts";
import { sendCall } from "../../stand_ins/send_call.ts";
import { DeploymentHarness } from "./deployment_harness.ts";
import { ASSOCIATION, type Deployment } from "./deployments.ts";

const KEYS_COUNT = 300;
const KEY_INTERVAL_MS = 40;
const ATTEMPTS_COUNT = 4;
const ATTEMPT_INTERVAL_MS = 300;
const ATTEMPT_TIMEOUT_MS = 3_000;
// Daemons refuse keys that were created before their start plus the clock skew.
const AFTER_START_MS = 3_000;

/** One data centre with three inscription instances. */
const DEPLOYMENT: Deployment = {
  ...ASSOCIATION,
  dataCentres: ["dakar-plateau"],
  pools: [{
    name: "inscription",
    endpointsCount: 3,
    slotsCount: 30,
    connectionsMaxCount: 300,
  }],
  slowedPool: "inscription",
  routes: { enrol: ASSOCIATION.routes.enrol },
  streams: [],
};

async function startHarness(t: TestContext): Promise<DeploymentHarness> {
  const harness = new DeploymentHarness(DEPLOYMENT, "adaptive");
  t.after(() => harness.stop());
  await harness.start();
  await harness.changeBehaviour("inscription", { serviceMs: 30 });
  await sleep(AFTER_START_MS);
  return harness;
}

/** Sends one key to alternating daemons, whatever they answer. */
async function sendKeyRepeatedly(
  harness: DeploymentHarness,
  number: number,
): Promise<CallRecord[]> {
  const key = createKey();
  const attempts: Promise<CallRecord>[] = [];
  for (let attempt = 0; attempt < ATTEMPTS_COUNT; attempt++) {
    const index = (number + attempt) % harness.instances.length;
    attempts.push(sendCall({
      url: harness.instances[index]?.entryUrl ?? "",
      method: "POST",
      path: "/enrolments",
      token: `key-${number}`,
      key,
    }, { signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS) }));
    await sleep(ATTEMPT_INTERVAL_MS);
  }
  return await Promise.all(attempts);
}

// A second effect is possible when the owner of a key is killed, or when it is
// frozen for longer than its fence, declared dead and then resumed.
test("no key takes effect twice while daemon processes are killed and frozen", async (t) => {
  const harness = await startHarness(t);
  const calls: Promise<CallRecord[]>[] = [];
  const faults = new Map<number, () => void>([
    [50, () => harness.instances[0]?.daemon.signal("SIGKILL")],
    [100, () => harness.instances[1]?.daemon.signal("SIGSTOP")],
    [275, () => harness.instances[1]?.daemon.signal("SIGCONT")],
  ]);
  for (let number = 0; number < KEYS_COUNT; number++) {
    faults.get(number)?.();
    calls.push(sendKeyRepeatedly(harness, number));
    await sleep(KEY_INTERVAL_MS);
  }
  const records = (await Promise.all(calls)).flat();
  const requests = (await harness.readRequests()).flat();
  const history = { calls: records, requests: { inscription: requests } };
  assert.deepEqual(checkHistory(history), []);
  const completeKeys = new Set(
    records.filter(({ outcome }) => outcome === "complete")
      .map(({ key }) => key),
  );
  const kinds = new Map<string, number>();
  for (const { errorKind, outcome } of records) {
    const kind = errorKind || outcome;
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  }
  t.diagnostic(`${completeKeys.size} of ${KEYS_COUNT} keys complete`);
  t.diagnostic(JSON.stringify(Object.fromEntries(kinds)));
  assert.ok(completeKeys.size > 0);
});

// No step of a call may wait for the platform.
test("keyed requests continue after the platform is killed", async (t) => {
  const harness = await startHarness(t);
  harness.killPlatform();
  await sleep(AFTER_START_MS);
  const calls = harness.instances.flatMap(({ entryUrl }) =>
    Array.from({ length: 20 }, (_, number) =>
      sendCall({
        url: entryUrl,
        method: "POST",
        path: "/enrolments",
        token: `down-${number}`,
        key: createKey(),
      }))
  );
  const records = await Promise.all(calls);
  const outcomes = new Set(records.map(({ outcome }) => outcome));
  const kinds = new Set(records.map(({ errorKind }) => errorKind));
  t.diagnostic(`error kinds: ${[...kinds].join(" ")}`);
  assert.deepEqual([...outcomes], ["complete"]);
});
