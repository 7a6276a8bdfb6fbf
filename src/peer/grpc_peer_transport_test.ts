import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { z } from "zod";
import { ManualClock } from "../core/clock.ts";
import { PeerError, type PeerFailure } from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { PeerKey } from "../schemas/settings_schema.ts";
import { TcpRelay } from "../testing/tcp_relay.ts";
import { GrpcPeerTransport } from "./grpc_peer_transport.ts";
import { KeyRing } from "./key_ring.ts";
import type { RejectionReason } from "./rejected_message_error.ts";

const OLD_KEY: PeerKey = { id: "old", secret: "0123456789abcdef-old" };
const NEW_KEY: PeerKey = { id: "new", secret: "0123456789abcdef-new" };
const LOOPBACK: Address = { host: "127.0.0.1", port: 0 };
const ECHO = {
  name: "echo",
  request: z.strictObject({ text: z.string() }),
  answer: z.strictObject({ text: z.string(), from: z.string() }),
};
/** Has the fingerprint of ECHO, but allows a text of another type. */
const UNTYPED_ECHO = {
  ...ECHO,
  request: z.strictObject({ text: z.unknown() }),
};
const RENAMED_ECHO = {
  ...ECHO,
  request: z.strictObject({ words: z.string() }),
};

type TestPeer = {
  transport: GrpcPeerTransport;
  keys: KeyRing;
  clock: ManualClock;
  rejected: RejectionReason[];
  address: Address;
};

async function startPeer(
  context: TestContext,
  instanceId: string,
  options: { keys?: PeerKey[]; listen?: Address; idleMs?: number } = {},
): Promise<TestPeer> {
  const keys = new KeyRing(options.keys ?? [OLD_KEY]);
  const clock = new ManualClock(1_700_000_000_000);
  const rejected: RejectionReason[] = [];
  const transport = new GrpcPeerTransport({
    identity: () => ({ instanceId, incarnationEpochMs: 1, dataCentre: "dc-a" }),
    keys,
    clock,
    onRejected: (reason) => rejected.push(reason),
    idleMs: options.idleMs,
  });
  transport.serve(ECHO, ({ text }, from) => ({ text, from: from.instanceId }));
  context.after(() => transport.close());
  const address = await transport.listen(options.listen ?? LOOPBACK);
  return { transport, keys, clock, rejected, address };
}

function echo(peer: TestPeer, address: Address): Promise<{ from: string }> {
  const call = { method: ECHO, body: { text: "hello" } };
  return peer.transport.request(address, call, { timeoutMs: 2_000 });
}

function failsWith(failure: PeerFailure) {
  return (error: unknown) => {
    assert.ok(error instanceof PeerError);
    assert.equal(error.failure, failure, error.message);
    return true;
  };
}

test("a handler receives the authenticated identity of the requesting instance", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  assert.deepEqual(await echo(a, b.address), { text: "hello", from: "a" });
});

test("keys are replaced at run time without a failed request, and an unknown key is rejected", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  b.keys.replace([OLD_KEY, NEW_KEY]);
  a.keys.replace([NEW_KEY, OLD_KEY]);
  assert.equal((await echo(a, b.address)).from, "a");
  a.keys.replace([NEW_KEY]);
  b.keys.replace([OLD_KEY]);
  await assert.rejects(echo(a, b.address), failsWith("rejected"));
  assert.deepEqual(b.rejected, ["mac"]);
});

test("a stale message and a body with a wrong type are rejected and reported", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  const call = { method: UNTYPED_ECHO, body: { text: 5 } };
  await assert.rejects(
    a.transport.request(b.address, call, { timeoutMs: 2_000 }),
    failsWith("rejected"),
  );
  a.clock.jumpWall(60_000);
  await assert.rejects(echo(a, b.address), failsWith("rejected"));
  assert.deepEqual(b.rejected, ["schema", "stale"]);
});

// Field names are not sent, so another daemon version could misread a body.
test("a message with other field names is rejected before it is decoded", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  const call = { method: RENAMED_ECHO, body: { words: "hello" } };
  await assert.rejects(
    a.transport.request(b.address, call, { timeoutMs: 2_000 }),
    failsWith("rejected"),
  );
  assert.deepEqual(b.rejected, ["version"]);
});

test("after a refused connection, each request opens a new one and reaches a restarted peer", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  await echo(a, b.address);
  await b.transport.close();
  await assert.rejects(echo(a, b.address));
  await assert.rejects(echo(a, b.address), failsWith("refused"));
  await assert.rejects(echo(a, b.address), failsWith("refused"));
  await startPeer(t, "b", { listen: b.address });
  assert.equal((await echo(a, b.address)).from, "a");
});

test("an instance at the address of a former one rejects at most one message", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  await echo(a, b.address);
  await b.transport.close();
  const c = await startPeer(t, "c", { listen: b.address });
  const results = [];
  for (let attempt = 0; attempt < 3; attempt++) {
    results.push(await echo(a, b.address).then(() => "ok", () => "failed"));
  }
  assert.equal(results.at(-1), "ok");
  assert.ok(c.rejected.length <= 1);
});

test("a request to a peer that accepts connections but never answers times out", async (t) => {
  const a = await startPeer(t, "a");
  const sockets: Socket[] = [];
  const silentServer: Server = createServer((socket) => sockets.push(socket));
  await new Promise<void>((done) => silentServer.listen(0, "127.0.0.1", done));
  t.after(() => {
    sockets.forEach((socket) => socket.destroy());
    silentServer.close();
  });
  const { port } = silentServer.address() as { port: number };
  const call = { method: ECHO, body: { text: "hello" } };
  await assert.rejects(
    a.transport.request({ host: "127.0.0.1", port }, call, { timeoutMs: 100 }),
    failsWith("timeout"),
  );
});

// TCP would retransmit for minutes on a connection that lost its packets.
test("a peer is reached over a new connection after a partition", async (t) => {
  const [a, b] = [await startPeer(t, "a"), await startPeer(t, "b")];
  const relay = new TcpRelay(b.address.port);
  t.after(() => relay.close());
  const address = { host: "127.0.0.1", port: await relay.listen() };
  await echo(a, address);
  relay.setMode("toClient", "drop");
  const call = { method: ECHO, body: { text: "hello" } };
  for (let attempt = 0; attempt < 3; attempt++) {
    await assert.rejects(
      a.transport.request(address, call, { timeoutMs: 100 }),
      failsWith("timeout"),
    );
  }
  relay.setMode("toClient", "pass");
  const results = [];
  for (let attempt = 0; attempt < 4; attempt++) {
    results.push(
      await a.transport.request(address, call, { timeoutMs: 500 })
        .then(() => "ok", () => "failed"),
    );
  }
  assert.equal(results.at(-1), "ok");
});

test("an idle connection is closed", async (t) => {
  const a = await startPeer(t, "a", { idleMs: 20 });
  const [b, c] = [await startPeer(t, "b"), await startPeer(t, "c")];
  await echo(a, b.address);
  await new Promise((done) => setTimeout(done, 60));
  await echo(a, c.address);
  assert.equal(a.transport.openChannelsCount, 1);
});
