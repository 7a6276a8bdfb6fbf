import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { listenOn } from "../core/listen_on.ts";
import type { ConnectionUse } from "../decisions/placement/choose_connection.ts";
import {
  type ConnectionHandler,
  UpstreamConnections,
} from "./upstream_connections.ts";

/** Longer than a connection may be idle for a request that may run once only. */
const STALE_MS = 260;

type Fixture = {
  connections: UpstreamConnections;
  server: Server;
  /** Number of connections that the server has accepted. */
  openedCount: () => number;
};

async function start(
  t: TestContext,
  { maxCount = 100, answer = (response: ServerResponse) => response.end("x") } =
    {},
): Promise<Fixture> {
  let openedCount = 0;
  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => answer(response));
  });
  server.on("connection", () => openedCount++);
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const connections = new UpstreamConnections(`http://127.0.0.1:${port}`, {
    maxCount,
    client: { pipelining: 1 },
  });
  t.after(async () => {
    await connections.destroy();
    server.close();
    server.closeAllConnections();
  });
  return { connections, server, openedCount: () => openedCount };
}

/** Sends a request; resolves with its status, or 0 when it has failed. */
function send(
  { connections }: Fixture,
  use: ConnectionUse,
  onStart: ConnectionHandler["onRequestStart"] = () => {},
): Promise<number> {
  return new Promise((resolve) => {
    let status = 0;
    const handler: ConnectionHandler = {
      onConnectionFree: undefined,
      onRequestStart: onStart,
      onResponseStart: (_controller, received) => {
        status = received;
      },
      onResponseData: () => {},
      onResponseEnd: () => {
        handler.onConnectionFree?.(true);
        resolve(status);
      },
      onResponseError: () => {
        handler.onConnectionFree?.(false);
        resolve(0);
      },
    };
    connections.dispatch(
      { method: "POST", path: "/", body: "b" },
      handler,
      use,
    );
  });
}

// A request that may run once only fails for good on a connection that the
// upstream has forgotten.
test("after an idle time a request that may run once only gets a new connection", async (t) => {
  const fixture = await start(t);
  await send(fixture, "once");
  await send(fixture, "once");
  assert.equal(fixture.openedCount(), 1);
  await delay(STALE_MS);
  assert.equal(await send(fixture, "once"), 200);
  assert.equal(fixture.openedCount(), 2);
});

// New connections cost the upstream a slot.
test("requests that may be repeated share connections with the others", async (t) => {
  const fixture = await start(t);
  await send(fixture, "repeatable");
  await send(fixture, "once");
  await delay(STALE_MS);
  await send(fixture, "repeatable");
  await send(fixture, "once");
  assert.equal(fixture.openedCount(), 1);
});

test("requests beyond the maximum number of connections wait", async (t) => {
  const fixture = await start(t, { maxCount: 2 });
  const statuses = await Promise.all(
    Array.from({ length: 9 }, () => send(fixture, "once")),
  );
  assert.deepEqual(new Set(statuses), new Set([200]));
  assert.equal(fixture.openedCount(), 2);
});

test("at the maximum a stale connection is replaced", async (t) => {
  const fixture = await start(t, { maxCount: 1 });
  await send(fixture, "once");
  await delay(STALE_MS);
  assert.equal(await send(fixture, "once"), 200);
  assert.equal(fixture.openedCount(), 2);
});

test("a connection whose request is cancelled before it is written is kept", async (t) => {
  const fixture = await start(t);
  await send(fixture, "once");
  const cancelled = await send(
    fixture,
    "once",
    () => {
      throw new Error("Cancelled");
    },
  );
  assert.equal(cancelled, 0);
  assert.equal(await send(fixture, "once"), 200);
  assert.equal(fixture.openedCount(), 1);
});

// Guards against a request that is written to a connection that is closing.
test("a connection that the upstream closes or resets is not used again", async (t) => {
  const behaviours = [
    (response: ServerResponse) => response.destroy(),
    (response: ServerResponse) =>
      response.writeHead(200, { connection: "close" }).end("x"),
    (response: ServerResponse) => response.end("x"),
  ];
  const fixture = await start(t, {
    answer: (response) =>
      (behaviours.shift() as typeof behaviours[0])(response),
  });
  assert.equal(await send(fixture, "once"), 0);
  assert.equal(await send(fixture, "once"), 200);
  assert.equal(await send(fixture, "once"), 200);
  assert.equal(fixture.openedCount(), 3);
});

// Guards against a process that does not end because connections are opened
// after it has closed them, and against requests that never get a result.
test("requests that wait when the connections are closed fail", async (t) => {
  const fixture = await start(t, {
    maxCount: 1,
    answer: (response) => response,
  });
  const running = send(fixture, "once");
  const waiting = [send(fixture, "once"), send(fixture, "repeatable")];
  await delay(STALE_MS);
  await fixture.connections.destroy();
  const statuses = await Promise.race([
    Promise.all([running, ...waiting]),
    delay(STALE_MS),
  ]);
  assert.deepEqual(statuses, [0, 0, 0]);
  assert.equal(fixture.openedCount(), 1);
});

// Guards against bodies that are held, and connections that are opened, for
// callers that have disconnected.
test("a request that is cancelled while it waits gets no connection", async (t) => {
  const responses: ServerResponse[] = [];
  const fixture = await start(t, {
    maxCount: 1,
    answer: (response) => {
      responses.push(response);
      return response;
    },
  });
  const running = send(fixture, "once");
  let isStarted = false;
  const waiting: ConnectionHandler = {
    onConnectionFree: undefined,
    onRequestStart: () => {
      isStarted = true;
      throw new Error("Cancelled");
    },
    onResponseError: () => waiting.onConnectionFree?.(false),
  };
  fixture.connections.dispatch(
    { method: "POST", path: "/", body: "b" },
    waiting,
    "once",
  );
  waiting.stopWaiting?.();
  while (responses.length === 0) {
    await delay(1);
  }
  responses[0]?.destroy();
  assert.equal(await running, 0);
  await delay(STALE_MS);
  assert.equal(isStarted, false);
  assert.equal(fixture.openedCount(), 1);
});

// The close of a connection that was replaced is no reason to start a request,
// and must not put the one that has waited longest behind the others.
test("waiting requests start in their order after a connection was replaced", async (t) => {
  const fixture = await start(t, {
    maxCount: 1,
    answer: (response) => {
      setTimeout(() => response.end("x"), 20);
      return response;
    },
  });
  await send(fixture, "once");
  await delay(STALE_MS);
  const started: number[] = [];
  await Promise.all(
    [0, 1, 2].map((number) =>
      send(fixture, "once", () => started.push(number))
    ),
  );
  assert.deepEqual(started, [0, 1, 2]);
});
