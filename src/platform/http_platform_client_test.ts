import assert from "node:assert/strict";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { SystemClock } from "../core/clock.ts";
import { PlatformError, type StoredObject } from "../core/platform_client.ts";
import { SeededRandom } from "../core/random.ts";
import { PlatformServer } from "../../stand_ins/platform_server.ts";
import { EventEmitter } from "node:events";
import { HttpPlatformClient } from "./http_platform_client.ts";

const ABSENT = { expectedVersion: "absent" } as const;

async function startPlatform(t: TestContext) {
  const platform = new PlatformServer();
  const port = await platform.listen(0);
  const client = connect(port);
  t.after(async () => {
    await client.close();
    await platform.close();
  });
  return { platform, client };
}

function connect(port: number): HttpPlatformClient {
  return new HttpPlatformClient({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: 2_000,
    callsPerSMax: 1_000,
    clock: new SystemClock(),
    random: new SeededRandom(1),
  });
}

function outcomeIs(outcome: PlatformError["outcome"]) {
  return (error: unknown) =>
    error instanceof PlatformError && error.outcome === outcome;
}

test("a write with an outdated version conflicts and changes nothing, and a list contains the written object", async (t) => {
  const { client } = await startPlatform(t);
  const object = { kind: "tables", name: "routes", value: { a: 1 } };
  assert.deepEqual(await client.put(object, ABSENT), {
    kind: "written",
    version: 1,
  });
  assert.deepEqual(await client.put(object, ABSENT), { kind: "conflict" });
  const update = { ...object, value: { a: 2 } };
  await client.put(update, { expectedVersion: 1 });
  const late = { ...object, value: { a: 3 } };
  assert.equal(
    (await client.put(late, { expectedVersion: 1 })).kind,
    "conflict",
  );
  assert.deepEqual(await client.get("tables", "routes"), {
    ...update,
    version: 2,
  });
  assert.equal(await client.get("tables", "pools"), undefined);
  assert.deepEqual((await client.list("tables")).map(({ name }) => name), [
    "routes",
  ]);
});

test("a write without an answer has the outcome unknown, an unsent one not-applied", async (t) => {
  const { platform, client } = await startPlatform(t);
  const object = { kind: "leases", name: "a", value: {} };
  platform.setFaults({ loseWriteAnswersCount: 1 });
  await assert.rejects(client.put(object, ABSENT), outcomeIs("unknown"));
  assert.equal((await client.get("leases", "a"))?.version, 1);
  const unconnected = connect(1);
  t.after(() => unconnected.close());
  await assert.rejects(
    unconnected.put(object, ABSENT),
    outcomeIs("not-applied"),
  );
});

test("a value over a megabyte is refused with the outcome not-applied", async (t) => {
  const { client } = await startPlatform(t);
  const value = "x".repeat(1_048_576);
  const object = { kind: "tables", name: "routes", value };
  await assert.rejects(client.put(object, ABSENT), outcomeIs("not-applied"));
});

test("a watch reconnects after an outage and emits the current state", async (t) => {
  const { platform, client } = await startPlatform(t);
  const received = new EventEmitter();
  const write = (
    value: number,
    condition: { expectedVersion: number | "absent" },
  ) =>
    platform.store.write(
      { kind: "config", name: "accepted" },
      value,
      condition,
    );
  write(1, ABSENT);
  client.watch("config").observe((object: StoredObject) => {
    received.emit(`value ${object.value}`);
  });
  await once(received, "value 1");
  const second = once(received, "value 2");
  platform.setFaults({ down: true });
  write(2, { expectedVersion: 1 });
  platform.setFaults({ down: false });
  await second;
  assert.equal(platform.counters.waitingWatchesCount, 1);
});
