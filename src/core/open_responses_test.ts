import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { waitFor } from "../testing/wait_for.ts";
import { listenOn } from "./listen_on.ts";
import { OpenResponses } from "./open_responses.ts";

// Guards against requests sent in a row of which only the first is cancelled when
// their client disconnects.
test("each open response of a connection emits close once when the connection closes", async (t) => {
  const open = new OpenResponses();
  const responses: ServerResponse[] = [];
  const closed: string[] = [];
  const server = createServer((request, response) => {
    open.track(response, request.socket);
    responses.push(response);
    response.on("close", () => closed.push(request.url ?? ""));
  });
  t.after(() => server.close());
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const socket = connect(port, "127.0.0.1");
  for (const path of ["/0", "/1", "/2"]) {
    socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  }
  await waitFor("the requests arrive", () => responses.length === 3);
  const [first] = responses as [ServerResponse];
  const connection = first.req.socket;
  assert.equal(open.countOf(connection), 3);
  first.end();
  await waitFor("the first is complete", () => open.countOf(connection) === 2);
  socket.destroy();
  await waitFor("all are closed", () => open.countOf(connection) === 0);
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(closed, ["/0", "/1", "/2"]);
});
