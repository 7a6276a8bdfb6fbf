import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { CallerMemory } from "../decisions/memory/caller_memory.ts";
import { CallerRefusals } from "../telemetry/caller_refusals.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { OutboundListener } from "./outbound_listener.ts";

const WAIT_MS = 50;

// Guards against a caller that is closed as an idle one while it sends a body,
// because the answer to its earlier request on the connection has been written.
test("a body that follows an answered request keeps its connection from being idle", async (t) => {
  const listener = new OutboundListener(
    {
      handle: (_request, answerSender) => {
        setImmediate(() =>
          answerSender.answer({
            status: 200,
            headers: [],
            body: null,
            runMs: 0,
          })
        );
        return () => {};
      },
      retryAfterMs: () => undefined,
    },
    {
      memory: new CallerMemory(1_000_000),
      connectionsMaxCount: 2,
      upstreamConnectionsMaxCount: 1,
      refusals: new CallerRefusals(new NullLogger()),
    },
  );
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  t.after(() => listener.close());
  const open = async (): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    t.after(() => socket.destroy());
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  };
  const head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
  const receiving = await open();
  receiving.write(`${head}body${head}bo`);
  await once(receiving, "data");
  const idle = await open();
  idle.resume();
  await delay(WAIT_MS);
  const closed = Promise.race([
    once(receiving, "close").then(() => "receiving"),
    once(idle, "close").then(() => "idle"),
  ]);
  await open();
  assert.equal(await closed, "idle");
});
