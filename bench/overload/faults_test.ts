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
// Keys are refused that are older than the daemons plus the clock skew.
const AFTER_START_MS = 3_000;

/** One data centre with three inscription instances, as processes. */
const DEPLOYMENT: Deployment = {
  ...ASSOCIATION,
  dataCentres: ["dakar-plateau"],
  pools: [{
    name: "inscription",
    endpointsCount: 3,
    slotsCount: 30,
    connectionsMaxCount: 300,
  }],
  deepPool: "inscription",
  routes: { enrol: ASSOCIATION.routes.enrol },
  streams: [],
};

async function startBed(t: TestContext): Promise<DeploymentHarness> {
  const bed = new DeploymentHarness(DEPLOYMENT, "adaptive");
  t.after(() => bed.stop());
  await bed.start();
  await bed.changeBehaviour("inscription", { serviceMs: 30 });
  await sleep(AFTER_START_MS);
  return bed;
}

/** Repeats one key at the daemons in turn, whatever they answer. */
async function repeatKey(
  bed: DeploymentHarness,
  number: number,
): Promise<CallRecord[]> {
  const key = createKey();
  const attempts: Promise<CallRecord>[] = [];
  for (let attempt = 0; attempt < ATTEMPTS_COUNT; attempt++) {
    const index = (number + attempt) % bed.instances.length;
    attempts.push(sendCall({
      url: bed.instances[index]?.entryUrl ?? "",
      method: "POST",
      path: "/enrolments",
      token: `key-${number}`,
      key,
    }, { signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS) }));
    await sleep(ATTEMPT_INTERVAL_MS);
  }
  return await Promise.all(attempts);
}

// Guards against a second effect of a key whose owner is killed, or is frozen
// for longer than the fence, declared dead, and wakes.
test("no key has two effects while daemon processes are killed and frozen", async (t) => {
  const bed = await startBed(t);
  const calls: Promise<CallRecord[]>[] = [];
  const faults = new Map<number, () => void>([
    [50, () => bed.instances[0]?.daemon.signal("SIGKILL")],
    [100, () => bed.instances[1]?.daemon.signal("SIGSTOP")],
    [275, () => bed.instances[1]?.daemon.signal("SIGCONT")],
  ]);
  for (let number = 0; number < KEYS_COUNT; number++) {
    faults.get(number)?.();
    calls.push(repeatKey(bed, number));
    await sleep(KEY_INTERVAL_MS);
  }
  const records = (await Promise.all(calls)).flat();
  const effects = (await bed.readEffects()).flat();
  const history = { calls: records, requests: { inscription: effects } };
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

// Guards against any part of a call that waits for the platform.
test("calls and keyed requests continue after the platform is killed", async (t) => {
  const bed = await startBed(t);
  bed.killPlatform();
  await sleep(AFTER_START_MS);
  const calls = bed.instances.flatMap(({ entryUrl }) =>
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
