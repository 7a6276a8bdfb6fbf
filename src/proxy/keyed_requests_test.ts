import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { v7 as createKey } from "uuid";
import type { CallRecord } from "../../stand_ins/call_record.ts";
import { type Call, sendCall } from "../../stand_ins/send_call.ts";
import { checkHistory } from "../testing/check_history.ts";
import { Mesh, type MeshInstance } from "../testing/mesh.ts";
import { waitFor } from "../testing/wait_for.ts";

const DATA_CENTRES = ["quimper-a", "vannes-a"];
const TABLES = {
  rules: { clockSkewMaxMs: 1 },
  routes: {
    order: {
      match: { method: "POST", pathPrefix: "/orders" },
      pool: "plates",
      class: "critical",
      idempotent: false,
      keys: "required",
    },
  },
  pools: { plates: { dataCentres: DATA_CENTRES, refusalsNotRun: true } },
};

async function startMesh(t: TestContext) {
  const mesh = new Mesh(t, TABLES);
  for (const dataCentre of DATA_CENTRES) {
    await mesh.start({ pool: "plates", dataCentre });
    await mesh.start({ pool: "plates", dataCentre });
  }
  mesh.setOwners("plates", DATA_CENTRES);
  // Owners run only keys that are younger than their own process.
  const startedMs = Date.now();
  await waitFor(
    "the daemons are older than new keys",
    () => Date.now() > startedMs + 10,
  );
  return mesh;
}

function order(
  instance: MeshInstance | undefined,
  key: string | undefined,
  call: Partial<Call> = {},
): Promise<CallRecord> {
  return sendCall({
    url: (instance as MeshInstance).callersUrl,
    method: "POST",
    path: "/orders",
    token: "order",
    key,
    ...call,
  });
}

function effectsOf(mesh: Mesh) {
  return (mesh.effects()["plates"] ?? []).filter((one) => one.effect);
}

// Guards against a second effect when a caller repeats a key at other daemons.
test("repeats of a key at every daemon run once and get the recorded answer", async (t) => {
  const mesh = await startMesh(t);
  const calls: CallRecord[] = [];
  for (let index = 0; index < 100; index++) {
    const prefix = index % 3 === 0 ? "vannes-a." : "";
    const key = `${prefix}${createKey()}`;
    const token = `order-${index}`;
    calls.push(
      ...await Promise.all(
        mesh.instances.map((one) => order(one, key, { token })),
      ),
    );
    calls.push(await order(mesh.instances[index % 4], key, { token }));
  }
  assert.deepEqual(checkHistory({ calls, effects: mesh.effects() }), []);
  assert.equal(effectsOf(mesh).length, 100);
  const last = calls.filter((_, index) => index % 5 === 4);
  assert.ok(last.every((one) => one.outcome === "complete"));
});

test("a running key is in progress and another request with it conflicts", async (t) => {
  const mesh = await startMesh(t);
  mesh.instances.forEach((one) => one.upstream.change({ serviceMs: 300 }));
  const key = createKey();
  const first = order(mesh.instances[0], key);
  await waitFor("the order runs", () => effectsOf(mesh).length === 1);
  const repeat = await order(mesh.instances[1], key);
  const conflict = await order(mesh.instances[1], key, { token: "another" });
  assert.equal(repeat.errorKind, "key_in_progress");
  assert.equal(conflict.errorKind, "key_conflict");
  assert.equal((await first).outcome, "complete");
});

test("a cancelled key is unknown and a refused one may run again", async (t) => {
  const mesh = await startMesh(t);
  const [cancelledKey, refusedKey] = [createKey(), createKey()];
  mesh.instances.forEach((one) => one.upstream.change({ shedding: true }));
  const refused = await order(mesh.instances[0], refusedKey);
  assert.equal(refused.outcome, "not-run");
  mesh.instances.forEach((one) =>
    one.upstream.change({ shedding: false, serviceMs: 10_000 })
  );
  const abort = new AbortController();
  const cancelled = sendCall({
    url: (mesh.instances[0] as MeshInstance).callersUrl,
    method: "POST",
    path: "/orders",
    token: "order",
    key: cancelledKey,
  }, { signal: abort.signal });
  await waitFor("the order runs", () => effectsOf(mesh).length === 1);
  abort.abort();
  await cancelled;
  await waitFor(
    "the slot is free",
    () =>
      mesh.effects()["plates"]?.some((one) => one.state === "cancelled") ===
        true,
  );
  mesh.instances.forEach((one) => one.upstream.change({ serviceMs: 1 }));
  const repeat = await order(mesh.instances[1], cancelledKey);
  assert.equal(repeat.errorKind, "key_outcome_unknown");
  const rerun = await order(mesh.instances[1], refusedKey);
  assert.equal(rerun.outcome, "complete");
  assert.deepEqual(
    checkHistory({ calls: [refused, repeat, rerun], effects: mesh.effects() }),
    [],
  );
});

test("an answer that is too large to record is unknown with its status", async (t) => {
  const mesh = await startMesh(t);
  const key = createKey();
  const first = await order(mesh.instances[0], key, {
    answerBytesCount: 70_000,
  });
  assert.equal(first.outcome, "complete");
  const repeat = await order(mesh.instances[0], key, {
    answerBytesCount: 70_000,
  });
  assert.equal(repeat.errorKind, "key_outcome_unknown");
  assert.equal(repeat.recordedStatus, "200");
  assert.equal(effectsOf(mesh).length, 1);
});

// Guards against running a key outside its home while the home is cut off.
test("a key whose home cannot be reached is refused and runs nowhere", async (t) => {
  const mesh = await startMesh(t);
  const key = `vannes-a.${createKey()}`;
  const own = mesh.instances.map((one) => one.endpoint)
    .filter((one) => one.dataCentre === "quimper-a");
  mesh.directory.replace(own);
  const record = await order(mesh.instances[0], key);
  assert.equal(record.errorKind, "key_home_unreachable");
  assert.equal(record.outcome, "not-run");
  assert.equal(effectsOf(mesh).length, 0);
});

test("malformed, missing, foreign, future and old keys are refused", async (t) => {
  const mesh = await startMesh(t);
  const day = 86_400_000;
  const kinds = await Promise.all([
    undefined,
    "1",
    "01a24009-a77b-4622-83ff-8745fede89af",
    `lannion-a.${createKey()}`,
    `${createKey()}, ${createKey()}`,
    createKey({ msecs: Date.now() + day }),
    createKey({ msecs: Date.now() - day }),
  ].map(async (key) => (await order(mesh.instances[0], key)).errorKind));
  assert.deepEqual(kinds, [
    "key_invalid",
    "key_invalid",
    "key_invalid",
    "key_invalid",
    "key_invalid",
    "key_invalid",
    "key_outcome_unknown",
  ]);
  assert.equal(effectsOf(mesh).length, 0);
});
