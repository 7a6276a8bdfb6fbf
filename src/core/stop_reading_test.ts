import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { listenOn } from "./listen_on.ts";
import { continueReading, stopReading } from "./stop_reading.ts";
import { waitFor } from "../testing/wait_for.ts";

const CHUNKS_COUNT = 60_000;
/** Chunks of one byte, of 6 bytes each, in the largest read of a socket. */
const READ_MAX_COUNT = 65_536 / 6;
/** Time for reads that must not happen; more of it does not make it fail. */
const QUIET_MS = 100;

// Guards against thousands of buffers in the queue of a stream: bodies in chunks
// of one byte took a process to 250 MB.
test("a stopped body has an empty queue, and is read to its end later", async (t) => {
  let receivedCount = 0;
  let queuedMaxCount = 0;
  let isEnded = false;
  let message: IncomingMessage | undefined;
  const server = createServer((request, response) => {
    message = request;
    request.on("data", () => {
      if (receivedCount++ === 0) {
        stopReading(request);
      }
      queuedMaxCount = Math.max(queuedMaxCount, request.readableLength);
    });
    request.on("end", () => {
      isEnded = true;
      response.end();
    });
  });
  const address = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const socket = connect(address);
  t.after(() => {
    socket.destroy();
    server.close();
  });
  socket.on("error", () => {});
  socket.write(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  socket.write("1\r\nx\r\n".repeat(CHUNKS_COUNT) + "0\r\n\r\n");
  await waitFor("a chunk arrives", () => receivedCount > 0);
  await delay(QUIET_MS);
  assert.ok(message);
  assert.equal(message.readableLength, 0);
  assert.ok(receivedCount <= READ_MAX_COUNT, `${receivedCount} chunks`);
  continueReading(message);
  await waitFor("the body ends", () => isEnded);
  assert.equal(receivedCount, CHUNKS_COUNT);
  assert.ok(queuedMaxCount <= 1, `${queuedMaxCount} bytes in the queue`);
});
