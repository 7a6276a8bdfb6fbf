import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { CallerConnections } from "../decisions/memory/caller_connections.ts";
import { Listener } from "./listener.ts";

// Guards against an error of the parser, which says "not run", that the client
// takes for the answer to the request before it.
test("bytes that are no request get no answer while an earlier request is open", async (t) => {
  let isHandled = () => {};
  const handled = new Promise<void>((resolve) => isHandled = resolve);
  const listener = new Listener(
    () => isHandled(),
    new CallerConnections(10, () => {}),
  );
  t.after(() => listener.destroy());
  const { port } = await listener.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(port, "127.0.0.1");
  t.after(() => socket.destroy());
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  socket.on("error", () => {});
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await handled;
  socket.write("no request\r\n\r\n");
  await once(socket, "close");
  assert.equal(received, "");
});
