/** Tests of the bodies that a listener receives. */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { buffer } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { errorAnswer } from "../errors/error_kinds.ts";
import { RelayError } from "../errors/relay_error.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { waitFor } from "../testing/wait_for.ts";
import { BodyReader, COLLECTED_BODY_MAX_BYTES } from "./body_reader.ts";
import { CallerBounds } from "./caller_bounds.ts";
import { Listener } from "./listener.ts";

/** Least memory that bounds are derived from: 8 MiB are held for callers. */
const SMALL_MACHINE = { memoryMaxBytes: 100_000_000, descriptorsMaxCount: 100 };
const BODY_MAX_BYTES = 4_194_304;
const DEADLINE_MS = 60_000;
const CHUNK = `${(65_536).toString(16)}\r\n${"x".repeat(65_536)}\r\n`;

function announce(bytes: number): string {
  return `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`;
}

const CHUNKED_HEAD =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Starts a listener that answers each request with the size of its body. */
async function startListener(
  t: TestContext,
  { deadlineMs = DEADLINE_MS }: { deadlineMs?: number } = {},
) {
  const bounds = new CallerBounds(SMALL_MACHINE, new NullLogger());
  const nowMs = () => performance.now();
  const reader = new BodyReader("callers", { bounds, nowMs });
  const forwarded: ("none" | "collected" | "streamed")[] = [];
  const listener = new Listener(async (request, response) => {
    try {
      const body = await reader.read(request, response, {
        bodyMaxBytes: BODY_MAX_BYTES,
        deadlineMs: nowMs() + deadlineMs,
      });
      const isCollected = body === null || Buffer.isBuffer(body);
      forwarded.push(
        body === null ? "none" : isCollected ? "collected" : "streamed",
      );
      const bytes = isCollected ? body : await buffer(body);
      response.end(`${bytes?.length ?? 0} bytes`);
    } catch (error) {
      const { kind, outcome } = error instanceof RelayError
        ? error
        : { kind: "internal" as const, outcome: "unknown" };
      response.statusCode = errorAnswer(kind).status;
      response.end(`${kind} ${outcome}`);
    }
  }, bounds.limitsOf("callers"));
  t.after(() => listener.destroy());
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  const open = () => openCaller(t, port);
  return { bounds, forwarded, open };
}

/** Connection of a caller, with what it has received. */
type Caller = { socket: Socket; received: string; isClosed: boolean };

function openCaller(t: TestContext, port: number): Caller {
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  const caller: Caller = { socket, received: "", isClosed: false };
  socket.on("data", (chunk) => caller.received += chunk);
  socket.on("error", () => {});
  socket.on("close", () => caller.isClosed = true);
  return caller;
}

async function waitForText(caller: Caller, text: string): Promise<void> {
  await waitFor(
    `"${text}", after ${caller.received}`,
    () => caller.received.includes(text),
  );
}

// Guards against unfinished bodies that hold slots of an upstream.
for (const head of [announce(50_000), CHUNKED_HEAD]) {
  const framing = head === CHUNKED_HEAD ? "chunked" : "announced";
  test(`a body of usual size is forwarded when it is complete (${framing})`, async (t) => {
    const { bounds, forwarded, open } = await startListener(t);
    const caller = open();
    const isChunked = head === CHUNKED_HEAD;
    caller.socket.write(head + (isChunked ? "c34f\r\n" : ""));
    caller.socket.write("x".repeat(49_999));
    await waitFor(
      "the body is received",
      () => bounds.memory.heldBytes >= 49_999,
    );
    assert.deepEqual(forwarded, []);
    caller.socket.write(isChunked ? "\r\n0\r\n\r\n" : "x");
    await waitForText(caller, isChunked ? "49999 bytes" : "50000 bytes");
    assert.deepEqual(forwarded, ["collected"]);
    await waitFor("all is released", () => bounds.memory.heldBytes === 0);
    caller.received = "";
    caller.socket.write(announce(0));
    await waitForText(caller, "0 bytes");
  });
}

// Guards against a body over the limit that is read, and against a later request
// on the connection that runs although the client gets no answer to it.
test("an announced length over the limit is answered at the head", async (t) => {
  const { bounds, forwarded, open } = await startListener(t);
  const caller = open();
  caller.socket.write(announce(BODY_MAX_BYTES + 1));
  await waitForText(caller, "body_too_large not-run");
  assert.match(caller.received, /^HTTP\/1\.1 413 /);
  await waitFor("the connection is closed", () => caller.isClosed);
  assert.deepEqual(forwarded, []);
  assert.equal(bounds.memory.heldBytes, 0);
  assert.equal(bounds.refusals.countOf("body_too_large"), 1);
});

// Guards against a body that holds memory after its request cannot be served.
test("a body that is incomplete at the deadline is refused as not run", async (t) => {
  const { bounds, forwarded, open } = await startListener(t, {
    deadlineMs: 50,
  });
  const caller = open();
  caller.socket.write(`${announce(50_000)}part`);
  await waitForText(caller, "body_timeout not-run");
  assert.match(caller.received, /^HTTP\/1\.1 408 /);
  await waitFor("the connection is closed", () => caller.isClosed);
  assert.deepEqual(forwarded, []);
  assert.equal(bounds.memory.heldBytes, 0);
});

// Guards against a crowd of bodies that takes the memory of the machine.
test("bodies that do not fit are refused as not run, and small ones are served", async (t) => {
  const { bounds, forwarded, open } = await startListener(t);
  const callers = Array.from({ length: 12 }, open);
  for (const { socket } of callers) {
    socket.write(`${announce(COLLECTED_BODY_MAX_BYTES)}part`);
  }
  // Heads count, too, so the bodies that fit are one less than 8 MiB hold.
  await waitFor(
    "five are refused",
    () => callers.filter(({ isClosed }) => isClosed).length === 5,
  );
  for (const { received } of callers.filter(({ isClosed }) => isClosed)) {
    assert.match(received, /^HTTP\/1\.1 503 [^]*memory_short not-run/);
  }
  assert.equal(bounds.refusals.countOf("memory_short"), 5);
  const small = open();
  small.socket.write(`${announce(4)}body`);
  await waitForText(small, "4 bytes");
  assert.deepEqual(forwarded, ["collected"]);
});

// Guards against complete bodies that take the memory while their requests wait.
test("complete bodies are refused as not run while forwarded ones fill the memory", async (t) => {
  const { bounds, forwarded, open } = await startListener(t);
  bounds.memory.hold(bounds.memory.maxBytes);
  const large = open();
  large.socket.write(announce(100_000) + "x".repeat(100_000));
  await waitForText(large, "memory_short not-run");
  assert.match(large.received, /^HTTP\/1\.1 503 /);
  const small = open();
  small.socket.write(`${announce(4)}body`);
  await waitForText(small, "4 bytes");
  assert.deepEqual(forwarded, ["collected"]);
  await waitFor(
    "all is released",
    () => bounds.memory.heldBytes === bounds.memory.maxBytes,
  );
});

// Guards against a large body within the limits that is refused, changed or
// collected.
test("a large body is streamed whether or not its length is announced", async (t) => {
  const { bounds, forwarded, open } = await startListener(t);
  const announced = open();
  announced.socket.write(announce(3_000_000) + "x".repeat(3_000_000));
  await waitForText(announced, "3000000 bytes");
  const chunked = open();
  chunked.socket.write(`${CHUNKED_HEAD}${CHUNK.repeat(40)}0\r\n\r\n`);
  await waitForText(chunked, `${40 * 65_536} bytes`);
  assert.deepEqual(forwarded, ["streamed", "streamed"]);
  await waitFor("all is released", () => bounds.memory.heldBytes === 0);
  for (const caller of [announced, chunked]) {
    caller.received = "";
    caller.socket.write(announce(0));
    await waitForText(caller, "0 bytes");
  }
});

// Guards against outcome not-run when the upstream received a part of the body.
test("a streamed body over the limit fails with outcome unknown", async (t) => {
  const { bounds, open } = await startListener(t);
  const caller = open();
  caller.socket.write(CHUNKED_HEAD + CHUNK.repeat(65));
  await waitForText(caller, "body_too_large unknown");
  await waitFor("the connection is closed", () => caller.isClosed);
  assert.equal(bounds.refusals.countOf("body_too_large"), 1);
  await waitFor("all is released", () => bounds.memory.heldBytes === 0);
});

// Guards against streamed bodies without a bound: they cannot be refused later.
test("streamed bodies beyond their part of the memory are refused as not run", async (t) => {
  const { bounds, open } = await startListener(t);
  const callers = Array.from({ length: 10 }, open);
  for (const { socket } of callers) {
    socket.write(`${announce(3_000_000)}part`);
  }
  await waitFor(
    "two are refused",
    () => callers.filter(({ isClosed }) => isClosed).length === 2,
  );
  for (const { received } of callers.filter(({ isClosed }) => isClosed)) {
    assert.match(received, /^HTTP\/1\.1 503 [^]*memory_short not-run/);
  }
  callers.forEach(({ socket }) => socket.destroy());
  await waitFor("all is released", () => bounds.memory.heldBytes === 0);
});

// Guards against a streamed body in chunks of one byte that fills the heap with
// its chunks, or ends with some of them missing.
test("a streamed body goes on in chunks of one byte", async (t) => {
  const { forwarded, open } = await startListener(t);
  const caller = open();
  caller.socket.write(CHUNKED_HEAD + CHUNK.repeat(17));
  caller.socket.write(`${"1\r\nx\r\n".repeat(200_000)}0\r\n\r\n`);
  await waitForText(caller, `${17 * 65_536 + 200_000} bytes`);
  assert.deepEqual(forwarded, ["streamed"]);
});

// Guards against a process without descriptors.
test("connections beyond the bound close idle ones", async (t) => {
  const { bounds, open } = await startListener(t);
  const busy = open();
  busy.socket.write(`${announce(4)}b`);
  await waitFor("it is received", () => bounds.memory.heldBytes > 0);
  const idle = Array.from({ length: 40 }, open);
  await waitFor(
    "eleven are closed",
    () => idle.filter(({ isClosed }) => isClosed).length === 11,
  );
  assert.equal(bounds.connectionsCount, 30);
  assert.equal(bounds.refusals.countOf("connection_closed"), 11);
  busy.socket.write("ody");
  await waitForText(busy, "4 bytes");
});

// Guards against bodies without bytes that last for ever. An answer to a streamed
// one could not be true, because its request may run.
test("a body without a byte for a minute ends, without an answer if it is streamed", async (t) => {
  const { bounds, forwarded, open } = await startListener(t);
  const collected = open();
  collected.socket.write(`${announce(50_000)}part`);
  const streamed = open();
  streamed.socket.write(`${announce(3_000_000)}part`);
  await waitFor(
    "both are received",
    () => bounds.progressChecks.size === 2 && forwarded.length === 1,
  );
  // The part that has arrived is read first.
  await new Promise((resolve) => setTimeout(resolve, 50));
  for (const body of bounds.progressChecks) {
    body.checkProgress(performance.now() + 59_000);
  }
  assert.equal(bounds.progressChecks.size, 2);
  for (const body of bounds.progressChecks) {
    body.checkProgress(performance.now() + 61_000);
  }
  await waitForText(collected, "body_timeout not-run");
  await waitFor("the connection is closed", () => streamed.isClosed);
  assert.equal(streamed.received, "");
  assert.equal(bounds.refusals.countOf("body_timeout"), 2);
  await waitFor("all is released", () => bounds.memory.heldBytes === 0);
});

// Guards against a crowd of streamed bodies that takes all processor time, and
// against a refusal that says "not run" although the request may run.
test("a streamed body with too many small chunks is closed beside others like it", async (t) => {
  const { bounds, open } = await startListener(t);
  for (let index = 0; index < 2; index++) {
    bounds.costlyBodies.admit({ progressAtMs: Infinity }, Infinity);
  }
  const caller = open();
  caller.socket.write(CHUNKED_HEAD + CHUNK.repeat(17));
  caller.socket.write("1\r\nx\r\n".repeat(200_000));
  await waitFor("the connection is closed", () => caller.isClosed);
  assert.equal(caller.received, "");
  assert.equal(bounds.refusals.countOf("chunks_too_small"), 1);
  await waitFor("all is released", () => bounds.memory.heldBytes === 0);
});
