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
  return (mesh.requestsByPool()["plates"] ?? []).filter((one) => one.effect);
}

// Guards against a second effect when a caller retries with the same key at
// other daemons.
test("a key that is sent to every daemon runs once and gets the recorded answer", async (t) => {
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
  assert.deepEqual(
    checkHistory({ calls, requests: mesh.requestsByPool() }),
    [],
  );
  assert.equal(effectsOf(mesh).length, 100);
  const last = calls.filter((_, index) => index % 5 === 4);
  assert.ok(last.every((one) => one.outcome === "complete"));
});

test("a retry of a running request is refused with key_in_progress, another request with its key with key_conflict", async (t) => {
  const mesh = await startMesh(t);
  mesh.instances.forEach((one) =>
    one.upstream.changeBehaviour({ serviceMs: 300 })
  );
  const key = createKey();
  const first = order(mesh.instances[0], key);
  await waitFor("the order runs", () => effectsOf(mesh).length === 1);
  const retry = await order(mesh.instances[1], key);
  const conflict = await order(mesh.instances[1], key, { token: "another" });
  assert.equal(retry.errorKind, "key_in_progress");
  assert.equal(conflict.errorKind, "key_conflict");
  assert.equal((await first).outcome, "complete");
});

test("a retry of a cancelled request is refused with key_outcome_unknown, a retry of a refused one runs", async (t) => {
  const mesh = await startMesh(t);
  const [cancelledKey, refusedKey] = [createKey(), createKey()];
  mesh.instances.forEach((one) =>
    one.upstream.changeBehaviour({ shedding: true })
  );
  const refused = await order(mesh.instances[0], refusedKey);
  assert.equal(refused.outcome, "not-run");
  mesh.instances.forEach((one) =>
    one.upstream.changeBehaviour({ shedding: false, serviceMs: 10_000 })
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
    "the order is cancelled at the upstream",
    () =>
      mesh.requestsByPool()["plates"]?.some((one) =>
        one.state === "cancelled"
      ) ===
        true,
  );
  mesh.instances.forEach((one) =>
    one.upstream.changeBehaviour({ serviceMs: 1 })
  );
  const retry = await order(mesh.instances[1], cancelledKey);
  assert.equal(retry.errorKind, "key_outcome_unknown");
  const rerun = await order(mesh.instances[1], refusedKey);
  assert.equal(rerun.outcome, "complete");
  assert.deepEqual(
    checkHistory({
      calls: [refused, retry, rerun],
      requests: mesh.requestsByPool(),
    }),
    [],
  );
});

test("a retry after an answer too large to record is refused with key_outcome_unknown and its status", async (t) => {
  const mesh = await startMesh(t);
  const key = createKey();
  const first = await order(mesh.instances[0], key, {
    answerBytesCount: 70_000,
  });
  assert.equal(first.outcome, "complete");
  const retry = await order(mesh.instances[0], key, {
    answerBytesCount: 70_000,
  });
  assert.equal(retry.errorKind, "key_outcome_unknown");
  assert.equal(retry.recordedStatus, "200");
  assert.equal(effectsOf(mesh).length, 1);
});

// Guards against running a key in another data centre while its home data centre
// cannot be reached.
test("a key whose home data centre cannot be reached is refused and does not run", async (t) => {
  const mesh = await startMesh(t);
  const key = `vannes-a.${createKey()}`;
  const reachable = mesh.instances.map((one) => one.endpoint)
    .filter((one) => one.dataCentre === "quimper-a");
  mesh.directory.replace(reachable);
  const record = await order(mesh.instances[0], key);
  assert.equal(record.errorKind, "key_home_unreachable");
  assert.equal(record.outcome, "not-run");
  assert.equal(effectsOf(mesh).length, 0);
});

test("malformed, missing, future and old keys and keys of unlisted data centres are refused", async (t) => {
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
