import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { SystemClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import type { PeerIdentity } from "../core/peer_transport.ts";
import { GrpcPeerTransport } from "../peer/grpc_peer_transport.ts";
import { KeyRing } from "../peer/key_ring.ts";
import type { Address } from "../schemas/common_schema.ts";
import { MembershipPart } from "./membership_part.ts";

const KEY = { id: "k1", secret: "0123456789abcdef" };
const UPSTREAM = {
  pool: "plates",
  host: "127.0.0.1",
  port: 9,
  slotsCount: 16,
  connectionsMaxCount: 200,
};

async function startDaemon(
  context: TestContext,
  instanceId: string,
  contacts: Address[],
): Promise<{ membership: MembershipPart; address: Address }> {
  const clock = new SystemClock();
  let identity: PeerIdentity = {
    instanceId,
    incarnationEpochMs: clock.wallMs(),
    dataCentre: "dc-a",
  };
  const transport = new GrpcPeerTransport({
    identity: () => identity,
    keys: new KeyRing([KEY]),
    clock,
  });
  const address = await transport.listen({ host: "127.0.0.1", port: 0 });
  const membership = new MembershipPart({
    ...identity,
    place: {
      peerHost: address.host,
      peerPort: address.port,
      hopHost: address.host,
      hopPort: 1,
      pool: "",
      slotsCount: 0,
      connectionsMaxCount: 0,
    },
    contacts,
    transport,
    clock,
    coldStartMs: () => 0,
  });
  identity = membership.identity;
  const loop = new EventLoop((name, error) => assert.fail(`${name}: ${error}`));
  loop.register(membership);
  loop.start();
  context.after(async () => {
    await loop.stop();
    await transport.close();
  });
  return { membership, address };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

// The timeout ends the test when an expected update never arrives.
test("daemons discover each other over gRPC and see a drain and a leave", {
  timeout: 60_000,
}, async (t) => {
  const a = await startDaemon(t, "a", []);
  const b = await startDaemon(t, "b", [a.address]);
  const c = await startDaemon(t, "c", [a.address]);
  b.membership.announce(UPSTREAM);
  const seenByC = () => c.membership.directory.endpoints("plates");
  await waitFor(() => seenByC().length === 1);
  assert.equal(seenByC()[0]?.instanceId, "b");
  assert.equal(seenByC()[0]?.slotsCount, 16);
  assert.equal(c.membership.directory.neighbours().length, 2);
  await waitFor(() => c.membership.directory.peerConnectivity().lastAckMs > 0);
  b.membership.drain();
  await waitFor(() => seenByC()[0]?.state === "draining");
  await b.membership.leave();
  await waitFor(() => seenByC().length === 0);
  assert.equal(c.membership.directory.peerConnectivity().knownPeersCount, 1);
});
