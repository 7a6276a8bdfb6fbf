import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  PlatformClient,
  PutResult,
  StoredObject,
} from "../core/platform_client.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { OwnRegistration } from "./own_registration.ts";

const RECORD: MemberRecord = {
  name: "one",
  dataCentre: "a",
  pool: "votes",
  link: { host: "127.0.0.1", port: 8300 },
};
const DEPARTURE = { upstreamId: "i-1", startedEpochMs: 5 };

/** Store whose writes end when the test calls `finishWrite`. */
class SlowStore {
  stored: StoredObject | undefined;
  readonly calls: string[] = [];
  readonly #waiting: (() => void)[] = [];

  get(): Promise<StoredObject | undefined> {
    this.calls.push("get");
    return Promise.resolve(this.stored);
  }

  async put(
    object: Omit<StoredObject, "version">,
    { expectedVersion }: { expectedVersion: number | "absent" },
  ): Promise<PutResult> {
    this.calls.push("put");
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
    if ((this.stored?.version ?? "absent") !== expectedVersion) {
      return { kind: "conflict" };
    }
    const version = (this.stored?.version ?? 0) + 1;
    this.stored = { ...object, version };
    return { kind: "written", version };
  }

  async finishWrite(): Promise<void> {
    this.#waiting.shift()?.();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function createRegistration(store: SlowStore) {
  const storedRecords: MemberRecord[] = [];
  const registration = new OwnRegistration({
    store: store as unknown as PlatformClient,
    record: RECORD,
    log: new NullLogger(),
    onStored: (record) => storedRecords.push(record),
  });
  return { registration, storedRecords };
}

test("a first registration is one call to the store", async () => {
  const store = new SlowStore();
  const { registration } = createRegistration(store);
  registration.tick(performance.now());
  await store.finishWrite();
  assert.equal(registration.isRegistered, true);
  assert.deepEqual(store.calls, ["put"]);
});

test("a departure that is announced during a write is acknowledged only when it is stored", async () => {
  const store = new SlowStore();
  const { registration } = createRegistration(store);
  registration.tick(performance.now());
  let isAcknowledged = false;
  const stored = registration.storeDeparture(DEPARTURE).then(() => {
    isAcknowledged = true;
  });
  await store.finishWrite();
  assert.equal(isAcknowledged, false);
  await store.finishWrite();
  await stored;
  assert.deepEqual(
    (store.stored?.value as MemberRecord).leftUpstream,
    DEPARTURE,
  );
  assert.equal(registration.isRegistered, true);
});

test("a departure that an earlier process stored is taken over after a restart", async () => {
  const store = new SlowStore();
  store.stored = {
    kind: "k",
    name: "one",
    version: 7,
    value: { ...RECORD, leftUpstream: DEPARTURE },
  };
  const { registration, storedRecords } = createRegistration(store);
  registration.tick(performance.now());
  await store.finishWrite();
  assert.deepEqual(storedRecords.at(-1)?.leftUpstream, DEPARTURE);
  assert.deepEqual(registration.record.leftUpstream, DEPARTURE);
  assert.equal(registration.isRegistered, true);
});

test("a departure that only a peer knows is taken over and written", async () => {
  const store = new SlowStore();
  const { registration, storedRecords } = createRegistration(store);
  registration.handlePeerCopy({ ...RECORD, leftUpstream: DEPARTURE });
  assert.deepEqual(storedRecords.at(-1)?.leftUpstream, DEPARTURE);
  registration.tick(performance.now());
  await store.finishWrite();
  assert.deepEqual(
    (store.stored?.value as MemberRecord).leftUpstream,
    DEPARTURE,
  );
});

// If the version of such an entry were not used, each write would conflict, and
// the daemon would call the store at every tick.
test("a stored record that is not readable is replaced", async () => {
  const store = new SlowStore();
  store.stored = { kind: "k", name: "one", version: 7, value: { name: 3 } };
  const { registration } = createRegistration(store);
  registration.tick(performance.now());
  await store.finishWrite();
  registration.tick(performance.now());
  await store.finishWrite();
  assert.equal(registration.isRegistered, true);
  assert.deepEqual(store.stored?.value, RECORD);
});

test("a record that the store has lost in a restore is written again", async () => {
  const store = new SlowStore();
  const { registration } = createRegistration(store);
  registration.tick(performance.now());
  await store.finishWrite();
  store.stored = undefined;
  registration.checkStored();
  registration.tick(performance.now());
  await new Promise((resolve) => setImmediate(resolve));
  await store.finishWrite();
  assert.equal(registration.isRegistered, true);
  assert.deepEqual(
    (store.stored as StoredObject | undefined)?.value,
    RECORD,
  );
});

test("a write that was made before a restore and answered after it does not count as stored", async () => {
  const store = new SlowStore();
  const { registration } = createRegistration(store);
  registration.tick(performance.now());
  registration.checkStored();
  await store.finishWrite();
  assert.equal(registration.isRegistered, false);
});
