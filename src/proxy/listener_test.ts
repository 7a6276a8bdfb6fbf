import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { NullLogger } from "../telemetry/logger.ts";
import { waitFor } from "../testing/wait_for.ts";
import { CallerBounds } from "./caller_bounds.ts";
import { Listener, type RequestHandler } from "./listener.ts";

/** Starts a listener, and opens a connection whose answers are collected. */
async function startListener(t: TestContext, handler: RequestHandler) {
  const limits = new CallerBounds({}, new NullLogger()).limitsOf("callers");
  const listener = new Listener(handler, limits);
  t.after(() => listener.destroy());
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  return { limits, socket, received: () => received };
}

// Guards against an error of the parser, which says "not run", that the client
// takes for the answer to the request before it.
test("bytes that are no request get no answer while an earlier request is open", async (t) => {
  let isHandled = () => {};
  const handled = new Promise<void>((resolve) => isHandled = resolve);
  const { socket, received } = await startListener(t, () => isHandled());
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await handled;
  socket.write("no request\r\n\r\n");
  await once(socket, "close");
  assert.equal(received(), "");
});

// Guards against many connections whose pipelined requests exhaust the memory.
test("a request behind others is refused as not run while the account is full", async (t) => {
  const responses: ServerResponse[] = [];
  const { limits, socket, received } = await startListener(
    t,
    (_request, response) => responses.push(response),
  );
  limits.memory.hold(limits.memory.maxBytes + 1);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(9));
  await waitFor("the first one runs", () => responses.length === 1);
  responses[0]?.end();
  await once(socket, "close");
  assert.equal(responses.length, 1);
  assert.deepEqual(received().match(/HTTP\/1\.1 \d+/g), [
    "HTTP/1.1 200",
    "HTTP/1.1 503",
  ]);
  assert.match(received(), /goldcrest-outcome: not-run/);
  assert.equal(limits.memory.heldBytes, limits.memory.maxBytes + 1);
});
