import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { waitFor } from "../testing/wait_for.ts";
import { listenOn } from "./listen_on.ts";
import { StoppableMessage, stopParsing } from "./stoppable_message.ts";

const REQUESTS_COUNT = 100;
/** Time in which all requests would be parsed. */
const PARSING_MS = 50;

let parsedCount = 0;

class CountedMessage extends StoppableMessage {
  constructor(...options: ConstructorParameters<typeof StoppableMessage>) {
    super(...options);
    parsedCount++;
  }
}

async function startServer(t: TestContext, stopsAtCount = Infinity) {
  const responses: ServerResponse[] = [];
  const server = createServer(
    { IncomingMessage: CountedMessage },
    (request, response) => {
      responses.push(response);
      if (responses.length === stopsAtCount) {
        response.shouldKeepAlive = false;
        stopParsing(request.socket);
      }
    },
  );
  server.on("upgrade", (_request, socket) => socket.on("error", () => {}));
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  t.after(() => {
    socket.destroy();
    server.close();
  });
  const statuses = () => received.match(/HTTP\/1\.1 \d+/g) ?? [];
  return { socket, responses, statuses };
}

// Guards against objects for each request of a caller that is refused anyway.
test("the parser stops behind the next request, and earlier ones are answered", async (t) => {
  const { socket, responses, statuses } = await startServer(t, 3);
  parsedCount = 0;
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(REQUESTS_COUNT));
  await waitFor("requests arrive", () => responses.length === 3);
  await delay(PARSING_MS);
  assert.equal(parsedCount, 4);
  responses.forEach((response) => response.end("x"));
  await once(socket, "close");
  assert.equal(statuses().length, 3);
});

test("a request that asks for another protocol is handled as any other", async (t) => {
  const { socket, responses, statuses } = await startServer(t);
  socket.write(
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n" +
      "Upgrade: other\r\n\r\n",
  );
  await waitFor("it arrives", () => responses.length === 1);
  responses[0]?.end("x");
  await waitFor("it is answered", () => statuses().length === 1);
});

test("a connection on which another one is asked for is closed", async (t) => {
  const { socket } = await startServer(t);
  socket.write("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n");
  await once(socket, "close");
});
