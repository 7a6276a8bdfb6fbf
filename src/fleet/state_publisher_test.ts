import assert from "node:assert/strict";
import { test } from "node:test";
import { CallObserver } from "../decisions/routing/call_observer.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import { StatePublisher } from "./state_publisher.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Creates a publisher and records the ratios that its peers know. */
function createPublisher() {
  const gate = {
    busyRatio: 0,
    refusedRatio: 0,
    limitCount: 10,
    isStopped: false,
  };
  const peers = { busyRatio: 0, refusedRatio: 0, statesCount: 0 };
  const publisher = new StatePublisher({
    upstream: { isServing: true, report: undefined } as LocalUpstream,
    gate: gate as UpstreamGate,
    observer: new CallObserver(),
    peers: () => ({
      broadcastState: (state: UpstreamState) => {
        peers.busyRatio = state.busyRatio;
        peers.refusedRatio = state.refusedRatio;
        peers.statesCount++;
      },
      broadcastBusyRatio: (busyRatio: number) => {
        peers.busyRatio = busyRatio;
      },
      linksCount: 1,
    }),
    configVersion: () => 1,
    isStopping: () => false,
    isWatching: () => false,
    onCalls: () => {},
  });
  return { publisher, gate, peers };
}

// Peers would refuse nearly all requests for a pool whose upstreams are idle.
test("peers learn that the load has fallen since the last whole state", () => {
  const { publisher, gate, peers } = createPublisher();
  gate.busyRatio = 0.8;
  publisher.tick(0);
  gate.busyRatio = 1.3;
  publisher.publish();
  gate.busyRatio = 0.74;
  publisher.tick(300);
  assert.equal(peers.busyRatio, 0.74);
});

// Peers would refuse two thirds of the requests that need several runs, because
// of a share of refusals from which nothing has to be limited any more.
test("peers learn that the refused share has fallen a little", () => {
  const { publisher, gate, peers } = createPublisher();
  gate.refusedRatio = 0.2;
  publisher.tick(0);
  assert.equal(peers.refusedRatio, 0.2);
  peers.statesCount = 0;
  gate.refusedRatio = 0.12;
  for (let nowMs = 100; nowMs <= 10_000; nowMs += 100) {
    publisher.tick(nowMs);
  }
  assert.equal(peers.refusedRatio, 0.12);
  assert.equal(peers.statesCount, 1);
});
