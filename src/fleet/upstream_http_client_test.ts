import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { createServer } from "node:http";
import { test } from "node:test";
import { listenOn } from "../core/listen_on.ts";
import type { ForwardFailure } from "../link/upstream_channel.ts";
import type { HeaderNames } from "./header_names.ts";
import { UpstreamHttpClient } from "./upstream_http_client.ts";

const NAMES: HeaderNames = {
  requestId: "request-id",
  deadlineMs: "deadline-ms",
  answerSignature: "signature",
  targetUpstream: "target-upstream",
  load: "server-load",
  notRun: "not-run",
  callerPool: "caller-pool",
  rateLimit: "rate-limit",
  leaving: "leaving",
  upstreamId: "upstream-id",
  tenant: "tenant",
};

/** Sends a request as it has been received; returns how it has failed. */
async function sendReceived(
  received: string,
): Promise<ForwardFailure | undefined> {
  const server = createServer((_request, response) =>
    response.writeHead(200, { signature: "s" }).end()
  );
  const address = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const receiving = createServer();
  const receivingAddress = await listenOn(receiving, {
    host: "127.0.0.1",
    port: 0,
  });
  const client = new UpstreamHttpClient(address, NAMES, {
    connectionsMaxCount: 1,
    isIdempotent: () => false,
    onMisdirected: () => {},
    onSignals: () => {},
  });
  const socket = connect(receivingAddress.port, receivingAddress.host);
  try {
    socket.write(received);
    const [message] = await once(receiving, "request");
    return await new Promise((resolve) =>
      client.send({
        upstreamId: "u",
        method: message.method,
        path: message.url,
        headers: message.rawHeaders,
        body: null,
        remainingMs: 600,
        routeName: "r",
        goalRemainingMs: 300,
        isRefusable: false,
        callerPool: "p",
      }, { onAnswer: () => resolve(undefined), onFailure: resolve })
    );
  } finally {
    await client.close();
    socket.destroy();
    for (const opened of [server, receiving]) {
      opened.close();
      opened.closeAllConnections();
    }
  }
}

// A request that undici does not send would otherwise mark its upstream
// unreachable, and each further one to which it is sent again.
test("a request with two host headers is not taken for an unreachable upstream", async () => {
  const received = "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n";
  assert.deepEqual(await sendReceived(received), {
    kind: "bad_request",
    isNotRun: true,
    hasReached: false,
  });
});

// Guards against a request that waits for a connection and is told to run.
test("the run time is told only for a request that was sent", async () => {
  const server = createServer(() => {});
  const address = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const client = new UpstreamHttpClient(address, NAMES, {
    connectionsMaxCount: 1,
    isIdempotent: () => false,
    onMisdirected: () => {},
    onSignals: () => {},
  });
  const told: string[] = [];
  const send = (name: string) =>
    client.send({
      upstreamId: "u",
      method: "GET",
      path: "/",
      headers: ["host", "a"],
      body: null,
      remainingMs: 600,
      routeName: "r",
      goalRemainingMs: 300,
      isRefusable: false,
      callerPool: "p",
    }, {
      onAnswer: () => {},
      onFailure: () => {},
      onRunning: () => told.push(name),
    });
  try {
    const isReceived = once(server, "request");
    const handles = [send("runs"), send("waits")];
    await isReceived;
    handles.forEach((handle) => handle.queryRun?.());
    assert.deepEqual(told, ["runs"]);
    handles.forEach((handle) => handle.cancel());
  } finally {
    await client.close();
    server.close();
    server.closeAllConnections();
  }
});
