/** Tests of upstreams whose answers have no valid status. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { ODD_STATUSES } from "../testing/odd_statuses.ts";
import { waitFor } from "../testing/wait_for.ts";
import type { Failure, ForwardRequest } from "./answer_receiver.ts";
import { HttpUpstreamClient } from "./upstream_client.ts";

async function startUpstream(t: TestContext, status: string, body: string) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.on("data", () =>
      socket.write(
        `HTTP/1.1 ${status} Odd\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      ));
  }).listen(0, "127.0.0.1");
  t.after(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  await once(server, "listening");
  return { sockets, port: (server.address() as AddressInfo).port };
}

function send(port: number): Promise<number | Failure> {
  const client = new HttpUpstreamClient({
    pool: "catalogue",
    host: "127.0.0.1",
    port,
    slotsCount: 1,
    connectionsMaxCount: 1,
  }, { nowMs: () => performance.now(), refusalsNotRun: () => true });
  const request = {
    context: {
      method: "POST",
      path: "/",
      requestId: "r",
      tenant: "t",
      deadlineMs: performance.now() + 60_000,
      idleTimeoutMs: 60_000,
    },
    headers: [],
    body: null,
  } as unknown as ForwardRequest;
  return new Promise((resolve) => {
    client.send(request, {
      onHead: ({ status }) => resolve(status),
      onData: () => true,
      onEnd: () => {},
      onFailure: resolve,
    });
  });
}

// Guards against a caller that takes such bytes for an answer, or that waits
// until its deadline, and against a connection that is used for another request.
for (
  const [status, body] of ODD_STATUSES.flatMap((status) =>
    [[status, "body"], [status, ""]] as const
  )
) {
  test(
    `an answer with the status ${status} and ${body.length} bytes has an unknown outcome, and its connection is closed`,
    {
      timeout: 10_000,
    },
    async (t) => {
      const { sockets, port } = await startUpstream(t, status, body);
      const result = await send(port);
      assert.deepEqual(result, { kind: "upstream_failed", outcome: "unknown" });
      await waitFor("the connection is closed", () => sockets.size === 0);
    },
  );
}
