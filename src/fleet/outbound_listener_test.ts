import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { InputDelay } from "../core/input_delay.ts";
import { StartQueue } from "../core/start_queue.ts";
import { CallerMemory } from "../decisions/memory/caller_memory.ts";
import { CallerRefusals } from "../telemetry/caller_refusals.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { waitFor } from "../testing/wait_for.ts";
import {
  type OutboundHandler,
  OutboundListener,
  type ReceivedRequest,
} from "./outbound_listener.ts";
import type { AnswerSender } from "./routed_request.ts";

const WAIT_MS = 50;
const NEVER_BEHIND = { isBehind: false };

function createOptions() {
  const inputDelay = new InputDelay();
  return { inputDelay, startQueue: new StartQueue(inputDelay) };
}

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
    createOptions(),
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

/** Size of a small answer, of which 200 are more than sockets take. */
const ANSWER_BYTES = 60_000;
/** Time in which the whole body would be read without a bound. */
const SLOW_READ_MS = 2_000;
const HEAD_PADDING = "x".repeat(60_000);

function createListener(
  memory: CallerMemory,
  handler: OutboundHandler,
  refusals = new CallerRefusals(new NullLogger()),
) {
  return new OutboundListener(handler, {
    memory,
    connectionsMaxCount: 10,
    upstreamConnectionsMaxCount: 1,
    refusals,
  }, createOptions());
}

/** Handler that answers when the test asks for it. */
class HeldHandler implements OutboundHandler {
  readonly senders: AnswerSender[] = [];
  readonly messages: IncomingMessage[] = [];

  handle({ message }: ReceivedRequest, sender: AnswerSender): () => void {
    this.messages.push(message);
    this.senders.push(sender);
    return () => {};
  }

  retryAfterMs(): undefined {
    return undefined;
  }

  answerNext(): void {
    this.senders.shift()
      ?.answer({ status: 200, headers: [], body: null, runMs: 0 });
  }
}

async function connectTo(t: TestContext, listener: OutboundListener) {
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(port, "127.0.0.1");
  t.after(() => {
    socket.destroy();
    listener.close();
  });
  socket.on("error", () => {});
  return socket;
}

// Guards against pipelined requests with large heads: 1,000 of them on one
// connection took 93 MB that nothing counted.
test("pipelined requests count in the account, and are read as earlier ones are answered", async (t) => {
  const memory = new CallerMemory(10_000_000);
  const handler = new HeldHandler();
  const refusals = new CallerRefusals(new NullLogger());
  const listener = createListener(memory, handler, refusals);
  const socket = await connectTo(t, listener);
  const requestsCount = 60;
  socket.write(
    `GET / HTTP/1.1\r\nhost: a\r\npad: ${HEAD_PADDING}\r\n\r\n`
      .repeat(requestsCount),
  );
  socket.resume();
  await waitFor("requests are open", () => handler.senders.length >= 16);
  await delay(WAIT_MS);
  assert.ok(handler.senders.length < requestsCount / 2);
  assert.ok(memory.heldBytes > 16 * HEAD_PADDING.length);
  assert.equal(refusals.countOf("requests_pipelined"), 1);
  await waitFor("all requests have run", () => {
    handler.answerNext();
    return handler.messages.length === requestsCount &&
      handler.senders.length === 0;
  });
  await waitFor("nothing is held", () => memory.heldBytes === 0);
});

// Guards against many connections whose pipelined requests exhaust the memory.
test("a request behind others is refused while the account is full, and a first one is served", async (t) => {
  const memory = new CallerMemory(HEAD_PADDING.length);
  const handler = new HeldHandler();
  const socket = await connectTo(t, createListener(memory, handler));
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.write(
    `GET / HTTP/1.1\r\nhost: a\r\npad: ${HEAD_PADDING}\r\n\r\n`.repeat(4),
  );
  await waitFor("a request runs", () => handler.senders.length === 1);
  await delay(WAIT_MS);
  assert.equal(handler.senders.length, 1);
  handler.answerNext();
  await once(socket, "close");
  assert.deepEqual(text.match(/HTTP\/1.1 \d+/g), [
    "HTTP/1.1 200",
    "HTTP/1.1 503",
  ]);
  assert.equal(memory.heldBytes, 0);
});

// Guards against requests that run on after their caller has left.
test("a caller with many open requests that leaves is noticed", async (t) => {
  let disconnectedCount = 0;
  let handledCount = 0;
  const listener = createListener(new CallerMemory(1_000_000), {
    handle: () => {
      handledCount++;
      return () => disconnectedCount++;
    },
    retryAfterMs: () => undefined,
  });
  const socket = await connectTo(t, listener);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(20));
  await waitFor("requests run", () => handledCount === 20);
  socket.destroy();
  await waitFor("all are cancelled", () => disconnectedCount === 20);
});

// Guards against a refused body that takes the processor time of others: four
// such callers with chunks of one byte held the event loop for 80 ms at a time.
test("a refused body is read slowly while an earlier request on its connection runs", async (t) => {
  const handler = new HeldHandler();
  const listener = createListener(new CallerMemory(1_000_000), handler);
  listener.applyLimits({
    headerMaxBytes: 65_536,
    bodyMaxBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  });
  const socket = await connectTo(t, listener);
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await waitFor("a request runs", () => handler.messages.length === 1);
  const chunks = Buffer.from("1\r\nx\r\n".repeat(500_000));
  socket.write(
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  socket.write(chunks);
  await delay(SLOW_READ_MS);
  const bytesRead = handler.messages[0]?.socket.bytesRead ?? 0;
  t.diagnostic(`${bytesRead} bytes read`);
  assert.ok(bytesRead < chunks.length / 2, `${bytesRead} bytes`);
  handler.answerNext();
  await waitFor("the body is refused", () => text.includes("HTTP/1.1 413"));
  assert.ok(text.startsWith("HTTP/1.1 200"));
});

// Guards against callers that keep memory and a connection for ever.
test("the connection of a caller that does not read its answers is closed", async (t) => {
  const refusals = new CallerRefusals(new NullLogger());
  const listener = createListener(
    new CallerMemory(100_000_000),
    {
      handle: (_request, sender) => {
        const body = Buffer.alloc(ANSWER_BYTES);
        sender.answer({ status: 200, headers: [], body, runMs: 0 });
        return () => {};
      },
      retryAfterMs: () => undefined,
    },
    refusals,
  );
  const socket = await connectTo(t, listener);
  socket.pause();
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(200));
  await waitFor("answers are held", () => listener.heldBytes > 0);
  let nowMs = 0;
  await waitFor("the connection is closed", () => {
    nowMs += 1_000;
    listener.tick(nowMs);
    return listener.connectionsCount === 0;
  });
  assert.equal(refusals.countOf("answer_unread"), 1);
  await waitFor("nothing is held", () => listener.heldBytes === 0);
});

// Guards against many unfinished heads, each far larger than callers need.
test("the configured size of heads holds for new connections, and others close when it rises", async (t) => {
  const handler = new HeldHandler();
  const listener = createListener(new CallerMemory(1_000_000), handler);
  const applyHeaderMax = (headerMaxBytes: number) =>
    listener.applyLimits({
      headerMaxBytes,
      bodyMaxBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 3_000,
    });
  applyHeaderMax(2_000);
  const first = await connectTo(t, listener);
  await once(first, "connect");
  const { remotePort: port } = first;
  const open = () => {
    const socket = connect(port ?? 0, "127.0.0.1");
    t.after(() => socket.destroy());
    return socket;
  };
  const request = `GET / HTTP/1.1\r\nhost: a\r\npad: ${
    "x".repeat(4_000)
  }\r\n\r\n`;
  const second = open();
  second.write(request);
  const [refusal] = await once(second, "data");
  assert.match(String(refusal), /^HTTP\/1\.1 431 /);
  applyHeaderMax(8_000);
  first.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await waitFor("a request runs", () => handler.senders.length === 1);
  handler.answerNext();
  const [answer] = await once(first, "data");
  assert.match(String(answer), /^HTTP\/1\.1 200 [^]*connection: close/i);
  open().write(request);
  await waitFor("a larger head is read", () => handler.senders.length === 1);
});

/** Processor time that the read of a connection takes, at least, in ms. */
const COSTLY_READ_MS = 20;
const COSTLY_CALLERS_COUNT = 40;
/** Reads in one iteration of the event loop, with a bound of 50 ms. */
const READS_MAX_COUNT = 4;

// Guards against an event loop that stands still while the first reads of many
// callers are costly: 1,400 bodies in chunks of one byte held it for 10 s.
test("costly reads of many connections are spread over iterations of the event loop", async (t) => {
  let iteration = 0;
  let isDone = false;
  const countIterations = () => {
    iteration++;
    if (!isDone) {
      setImmediate(countIterations);
    }
  };
  const readsByIteration = new Map<number, number>();
  const listener = new OutboundListener(
    {
      handle: (_request, answerSender) => {
        const endsAtMs = performance.now() + COSTLY_READ_MS;
        while (performance.now() < endsAtMs) {
          // Takes processor time, as the parser does.
        }
        const count = readsByIteration.get(iteration) ?? 0;
        readsByIteration.set(iteration, count + 1);
        answerSender.fail("shed");
        return () => {};
      },
      retryAfterMs: () => undefined,
    },
    {
      memory: new CallerMemory(10_000_000),
      connectionsMaxCount: COSTLY_CALLERS_COUNT,
      upstreamConnectionsMaxCount: 1,
      refusals: new CallerRefusals(new NullLogger()),
    },
    { inputDelay: new InputDelay(), startQueue: new StartQueue(NEVER_BEHIND) },
  );
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  t.after(() => listener.close());
  const sockets = await Promise.all(
    Array.from({ length: COSTLY_CALLERS_COUNT }, async () => {
      const socket = connect(port, "127.0.0.1");
      t.after(() => socket.destroy());
      await once(socket, "connect");
      return socket;
    }),
  );
  await waitFor(
    "all are accepted",
    () => listener.connectionsCount === COSTLY_CALLERS_COUNT,
  );
  countIterations();
  const answers = sockets.map((socket) => once(socket, "data"));
  sockets.forEach((socket) =>
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n")
  );
  await Promise.all(answers);
  isDone = true;
  const mostCount = Math.max(...readsByIteration.values());
  assert.ok(mostCount <= READS_MAX_COUNT, `${mostCount} reads at once`);
});
