import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { buildConnector } from "undici";
import { listenOn } from "../core/listen_on.ts";
import { readInSlices } from "./read_in_slices.ts";

const CONTENT_BYTES = 200_000;

function connect(port: number): Promise<Socket> {
  const connector = readInSlices(buildConnector({}));
  const options = {
    hostname: "127.0.0.1",
    host: "127.0.0.1",
    port: String(port),
    protocol: "http:",
  };
  return new Promise((resolve, reject) =>
    connector(
      options,
      (error, socket) => error ? reject(error) : resolve(socket as Socket),
    )
  );
}

test("a reader gets all bytes in slices, and none after it has destroyed the socket", async (t) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.end(Buffer.alloc(CONTENT_BYTES, "x"));
  });
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  t.after(() => server.close());
  const readSlices = async (slicesMaxCount: number): Promise<number[]> => {
    const socket = await connect(port);
    const sizes: number[] = [];
    await new Promise<void>((resolve) => {
      socket.on("close", () => resolve());
      socket.on("readable", () => {
        for (
          let chunk = socket.read();
          chunk !== null;
          chunk = socket.read()
        ) {
          sizes.push(chunk.length);
          if (sizes.length === slicesMaxCount) {
            socket.destroy();
          }
        }
      });
    });
    return sizes;
  };
  const sizes = await readSlices(Infinity);
  assert.equal(sizes.reduce((sum, size) => sum + size, 0), CONTENT_BYTES);
  assert.ok(sizes.every((size) => size <= 8_192));
  assert.equal((await readSlices(2)).length, 2);
});

// An error in the callback of a failed connection would end the process.
test("a refused connection is reported", async () => {
  const server = createServer();
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  await new Promise((resolve) => server.close(resolve));
  await assert.rejects(connect(port), { code: "ECONNREFUSED" });
});
