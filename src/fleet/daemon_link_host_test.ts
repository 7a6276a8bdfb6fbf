import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import type { PeerLink } from "../link/peer_link.ts";
import { NullLogger } from "../telemetry/logger.ts";
import {
  DaemonLinkHost,
  type DaemonLinkHostParts,
} from "./daemon_link_host.ts";

const STALLED_MS = 3_000;
const MEMORY_MAX_BYTES = 1_000;

function createHost() {
  const served: ForwardedRequest[] = [];
  const failures: ForwardFailure[] = [];
  const runTimes: number[] = [];
  const gate = {
    serve: (request: ForwardedRequest, receiver: ResultReceiver) => {
      served.push(request);
      return { cancel: () => {}, queryRun: () => receiver.onRunning?.(40) };
    },
  };
  const config = { version: 1 };
  const memory = new CallerMemory(MEMORY_MAX_BYTES);
  const host = new DaemonLinkHost(
    {
      gate,
      config,
      memory,
      inputDelay: { isBehind: false, measureMs: () => 0 },
      inputDelayLog: { recordFrame: () => {} },
      log: new NullLogger(),
    } as unknown as DaemonLinkHostParts,
  );
  const serve = (remainingMs: number, bodyBytes = 0) =>
    host.serve({
      remainingMs,
      body: bodyBytes === 0 ? null : new Uint8Array(bodyBytes),
    } as unknown as ForwardedRequest, {
      onAnswer: () => {},
      onFailure: (failure) => failures.push(failure),
      onRunning: (runMs) => runTimes.push(runMs),
    });
  return { host, served, failures, runTimes, serve, memory };
}

// A process that was paused reads requests that were sent before. Their callers
// may have given up meanwhile.
test("a request whose deadline passed while the process was paused is not run", () => {
  const { host, served, failures, serve } = createHost();
  host.tick(performance.now(), STALLED_MS);
  serve(STALLED_MS - 500);
  assert.equal(served.length, 0);
  assert.deepEqual(failures, [
    { kind: "deadline_exceeded", isNotRun: true, hasReached: false },
  ]);
});

test("a request that may have waited during a pause gets the time that is left", () => {
  const { host, served, serve } = createHost();
  host.tick(performance.now(), STALLED_MS);
  serve(STALLED_MS + 500);
  assert.equal(served[0]?.remainingMs, 500);
});

test("a request that arrives after a pause keeps its time", async () => {
  const { host, served, serve } = createHost();
  host.tick(performance.now(), STALLED_MS);
  await new Promise((resolve) => setTimeout(resolve, 40));
  serve(500);
  assert.equal(served[0]?.remainingMs, 500);
});

test("a pause is noticed before the first tick after it", () => {
  const { host, served, failures, serve } = createHost();
  host.tick(performance.now() - STALLED_MS, 0);
  serve(STALLED_MS - 500);
  assert.equal(served.length, 0);
  assert.equal(failures[0]?.isNotRun, true);
});

test("a newer configuration is asked for again when the peer that was asked is lost", () => {
  const { host } = createHost();
  const links = ["one", "two"].map((peerName) => ({
    peerName,
    isUp: true,
    queriesCount: 0,
    queryConfig() {
      this.queriesCount++;
    },
  }));
  const [one, two] = links as [typeof links[0], typeof links[0]];
  for (const link of links) {
    host.onConfigVersion(2, link as unknown as PeerLink);
  }
  one.isUp = false;
  const nowMs = performance.now();
  for (let passedMs = 100; passedMs <= 400; passedMs += 100) {
    host.tick(nowMs + passedMs, 0);
  }
  assert.deepEqual([one.queriesCount, two.queriesCount], [1, 1]);
});

// Guards against peers that together send more bodies than the process can hold.
test("a request with a body is refused as not run while too much is held", () => {
  const { served, failures, serve, memory } = createHost();
  const { cancel } = serve(500, MEMORY_MAX_BYTES + 1);
  serve(500, 1);
  serve(500);
  assert.equal(served.length, 2);
  assert.deepEqual(failures, [
    { kind: "memory_short", isNotRun: true, hasReached: false },
  ]);
  cancel();
  cancel();
  assert.equal(memory.heldBytes, 0);
  serve(500, 1);
  assert.equal(served.length, 3);
});

test("the run time is told of requests with and without a body", () => {
  const { runTimes, serve } = createHost();
  serve(1_000).queryRun?.();
  serve(1_000, 10).queryRun?.();
  assert.deepEqual(runTimes, [40, 40]);
});
