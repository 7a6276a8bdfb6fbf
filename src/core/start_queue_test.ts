import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { connect } from "node:net";
import { test } from "node:test";
import { setImmediate as nextIteration } from "node:timers/promises";
import { listenOn } from "./listen_on.ts";
import { StartQueue } from "./start_queue.ts";

function createQueue({ isBehind = true } = {}) {
  const inputDelay = { isBehind };
  const queue = new StartQueue(inputDelay);
  const started: string[] = [];
  const cancelled: string[] = [];
  const add = (id: string, isGone = () => false) =>
    queue.add(() => {
      started.push(id);
      return () => cancelled.push(id);
    }, { isGone });
  return { inputDelay, queue, started, cancelled, add };
}

async function runIterations(count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    await nextIteration();
  }
}

test("a request starts at once while the process is not behind", () => {
  const { queue, started, cancelled, add } = createQueue({ isBehind: false });
  const cancel = add("a");
  assert.deepEqual(started, ["a"]);
  cancel();
  assert.deepEqual(cancelled, ["a"]);
  assert.equal(queue.delayedCount, 0);
});

// Guards against requests that run although their callers had left before.
test("a delayed request whose caller has left does not start", async () => {
  const { queue, started, cancelled, add } = createQueue();
  const cancel = add("cancelled");
  add("gone", () => true);
  const cancelLater = add("wanted");
  cancel();
  await runIterations(3);
  assert.deepEqual(started, ["wanted"]);
  cancelLater();
  assert.deepEqual(cancelled, ["wanted"]);
  assert.equal(queue.delayedCount, 3);
  assert.equal(queue.droppedCount, 2);
});

test("requests keep their order when the process is no longer behind", async () => {
  const { inputDelay, started, add } = createQueue();
  add("a");
  inputDelay.isBehind = false;
  add("b");
  assert.deepEqual(started, []);
  await runIterations(3);
  add("c");
  assert.deepEqual(started, ["a", "b", "c"]);
});

test("a close that has arrived is read before a delayed request starts", async (t) => {
  const { started, add } = createQueue();
  const server = createServer();
  t.after(() => server.close());
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const client = connect(port, "127.0.0.1");
  const [accepted] = await once(server, "connection") as [Socket];
  accepted.on("data", () => add("a", () => accepted.readableEnded));
  client.end("request");
  await once(accepted, "close");
  await runIterations(3);
  assert.deepEqual(started, []);
});

// Guards against starts that hold the event loop until all closes are too old.
test("input is read between the starts of many requests", async () => {
  const { queue, started } = createQueue();
  const busy = () => {
    const endsAtMs = performance.now() + 6;
    while (performance.now() < endsAtMs) {
      // Takes processor time, as a start does.
    }
  };
  for (let index = 0; index < 6; index++) {
    queue.add(() => {
      busy();
      started.push(String(index));
      return () => {};
    });
  }
  await runIterations(3);
  assert.ok(started.length >= 1 && started.length < 6, started.join());
  await runIterations(10);
  assert.equal(started.length, 6);
});
