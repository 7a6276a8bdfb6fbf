import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { type ControlAnswer, ControlListener } from "./control_listener.ts";

async function startListener(
  t: TestContext,
  handle: (body: string) => ControlAnswer,
) {
  const listener = new ControlListener(({ body }) => handle(body));
  t.after(() => listener.close());
  return await listener.listen({ host: "127.0.0.1", port: 0 });
}

// An unhandled rejection ends the process, so one broken heartbeat would end the
// daemon.
test("a request whose body is broken off causes no unhandled rejection", async (t) => {
  const rejections: unknown[] = [];
  const onRejection = (reason: unknown) => rejections.push(reason);
  process.on("unhandledRejection", onRejection);
  t.after(() => process.off("unhandledRejection", onRejection));
  const { host, port } = await startListener(t, () => ({
    status: 200,
    body: "{}",
  }));
  const socket = connect(port, host);
  await once(socket, "connect");
  socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{");
  await new Promise((resolve) => setTimeout(resolve, 50));
  socket.resetAndDestroy();
  await new Promise((resolve) => setTimeout(resolve, 50));
  const answer = await fetch(`http://${host}:${port}/`, { method: "POST" });
  assert.equal(answer.status, 200);
  assert.deepEqual(rejections, []);
});

test("a character that is split between two chunks of the body is decoded", async (t) => {
  const bodies: string[] = [];
  const { host, port } = await startListener(t, (body) => {
    bodies.push(body);
    return { status: 200, body: "{}" };
  });
  const socket = connect(port, host);
  await once(socket, "connect");
  const body = Buffer.from("é");
  socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
  socket.write(body.subarray(0, 1));
  await new Promise((resolve) => setTimeout(resolve, 50));
  socket.write(body.subarray(1));
  await once(socket, "data");
  socket.destroy();
  assert.deepEqual(bodies, ["é"]);
});

test("a body over the limit gets no answer, and its connection is closed", async (t) => {
  const { host, port } = await startListener(t, () => ({
    status: 200,
    body: "{}",
  }));
  const socket = connect(port, host);
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n");
  socket.resume();
  socket.write("x".repeat(70_000));
  await once(socket, "close");
});
