import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { listenOn } from "../core/listen_on.ts";
import { waitFor } from "../testing/wait_for.ts";
import { ReadPacer } from "./read_pacer.ts";

const SOCKETS_COUNT = 30;
/** Time that the process is busy with the read of a connection. */
const COSTLY_MS = 30;

function runFor(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs) {
    // Takes processor time.
  }
}

/** Starts a server, all of whose connections are read in one iteration. */
async function startServer(t: TestContext, nowMs?: () => number) {
  const sockets: Socket[] = [];
  const order: string[] = [];
  let mostHeldCount = 0;
  const pacer = new ReadPacer(() => sockets, nowMs && { nowMs });
  const server = createServer((socket) => {
    sockets.push(socket);
    pacer.accept(socket);
    socket.on("data", (data) => {
      pacer.recordRead();
      order.push(String(data));
      runFor(COSTLY_MS);
      mostHeldCount = Math.max(mostHeldCount, pacer.heldCount);
    });
  });
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const open = async () => {
    const client = connect(port, "127.0.0.1");
    t.after(() => client.destroy());
    await once(client, "connect");
    return client;
  };
  t.after(() => server.close());
  const clients = await Promise.all(
    Array.from({ length: SOCKETS_COUNT }, open),
  );
  await waitFor("all are accepted", () => sockets.length === SOCKETS_COUNT);
  clients.forEach((client, index) => client.write(String(index)));
  return { pacer, order, open, mostHeldCount: () => mostHeldCount };
}

test("connections wait while reads are costly, and all are read in the end", async (t) => {
  const { pacer, order, open, mostHeldCount } = await startServer(t);
  await waitFor("some wait", () => pacer.heldCount > 0);
  const late = await open();
  late.write("late");
  await waitFor("all are read", () => order.length === SOCKETS_COUNT + 1);
  assert.ok(mostHeldCount() > SOCKETS_COUNT / 2);
  assert.equal(new Set(order).size, SOCKETS_COUNT + 1);
  await waitFor("none waits", () => pacer.heldCount === 0);
});

test("connections do not wait while reads are cheap", async (t) => {
  const { order, mostHeldCount } = await startServer(t, () => 0);
  await waitFor("all are read", () => order.length === SOCKETS_COUNT);
  assert.equal(mostHeldCount(), 0);
});

// Guards against reads of a connection that others have stopped.
test("a stopped connection is not continued", async (t) => {
  const stopped: Socket[] = [];
  const pacer = new ReadPacer(() => stopped);
  const server = createServer((socket) => {
    socket.pause();
    stopped.push(socket);
  });
  t.after(() => server.close());
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const client = connect(port, "127.0.0.1");
  t.after(() => client.destroy());
  await waitFor("it is accepted", () => stopped.length === 1);
  pacer.recordRead();
  runFor(2 * COSTLY_MS);
  pacer.recordRead();
  assert.equal(pacer.heldCount, 0);
  assert.ok(stopped[0]?.isPaused());
});
