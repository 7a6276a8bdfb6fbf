import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextIteration } from "node:timers/promises";
import { StartQueue } from "../core/start_queue.ts";
import { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import { NullLogger } from "../telemetry/logger.ts";
import {
  DaemonLinkHost,
  type DaemonLinkHostParts,
} from "./daemon_link_host.ts";

const STALLED_MS = 3_000;
const MEMORY_MAX_BYTES = 1_000;

type ServeOptions = { bodyBytes?: number; frameDelayMs?: number };

/** Waits until delayed requests have been started. */
async function untilStarted(): Promise<void> {
  for (let iteration = 0; iteration < 3; iteration++) {
    await nextIteration();
  }
}

/** Creates a host in a process that is behind with its input for some time. */
function createHost({ delayMs = 0 } = {}) {
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
  const inputDelay = { isBehind: delayMs > 0, measureStallMs: () => delayMs };
  const host = new DaemonLinkHost(
    {
      gate,
      config,
      memory,
      inputDelay,
      startQueue: new StartQueue(inputDelay),
      inputDelayLog: { recordFrame: () => {} },
      log: new NullLogger(),
    } as unknown as DaemonLinkHostParts,
  );
  const serve = (
    remainingMs: number,
    { bodyBytes = 0, frameDelayMs }: ServeOptions = {},
  ) =>
    host.serve({
      remainingMs,
      goalRemainingMs: remainingMs / 2,
      body: bodyBytes === 0 ? null : new Uint8Array(bodyBytes),
    } as unknown as ForwardedRequest, {
      onAnswer: () => {},
      onFailure: (failure) => failures.push(failure),
      onRunning: (runMs) => runTimes.push(runMs),
    }, frameDelayMs);
  return { host, served, failures, runTimes, serve, memory };
}

// A process that was paused reads requests that were sent before. Their callers
// may have given up meanwhile.
test("a request whose deadline passed while the process was paused is not run", async () => {
  const { served, failures, serve } = createHost({ delayMs: STALLED_MS });
  serve(STALLED_MS - 500);
  await untilStarted();
  assert.equal(served.length, 0);
  assert.deepEqual(failures, [
    { kind: "deadline_exceeded", isNotRun: true, hasReached: false },
  ]);
});

test("a request that may have waited during a pause gets the time that is left", async () => {
  const { served, serve } = createHost({ delayMs: STALLED_MS });
  const servedAtMs = performance.now();
  serve(STALLED_MS + 500);
  await untilStarted();
  const queuedMs = performance.now() - servedAtMs;
  const remainingMs = served[0]?.remainingMs ?? 0;
  assert.ok(remainingMs <= 500 && remainingMs >= 500 - queuedMs);
});

test("a request that arrives after a pause keeps its time", () => {
  const { served, serve } = createHost();
  serve(500);
  assert.equal(served[0]?.remainingMs, 500);
});

// Guards against a duration that stands still while its frame is on the way.
test("a request whose frame is known to have waited gets the time that is left, or is not run", () => {
  const { served, failures, serve } = createHost();
  serve(500, { frameDelayMs: 200 });
  assert.equal(Math.round(served[0]?.remainingMs ?? 0), 300);
  assert.equal(Math.round(served[0]?.goalRemainingMs ?? 0), 50);
  serve(500, { frameDelayMs: 600 });
  assert.equal(served.length, 1);
  assert.equal(failures[0]?.isNotRun, true);
});

// Guards against requests of a slowed peer that has sent their frames in time.
test("a request with a known delay does not lose the time for which the process was paused", async () => {
  const { served, serve } = createHost({ delayMs: STALLED_MS });
  serve(500, { frameDelayMs: 0 });
  await untilStarted();
  assert.ok((served[0]?.remainingMs ?? 0) > 0);
});

// Guards against work for callers that have left: the cancel lies behind the
// request on the link.
test("a request whose cancel is read before it starts is not run", async () => {
  const { served, failures, serve } = createHost({ delayMs: STALLED_MS });
  serve(2 * STALLED_MS).cancel();
  await untilStarted();
  assert.equal(served.length, 0);
  assert.deepEqual(failures, []);
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
    host.onConfigVersion(2, link);
  }
  one.isUp = false;
  const nowMs = performance.now();
  for (let passedMs = 100; passedMs <= 400; passedMs += 100) {
    host.tick(nowMs + passedMs);
  }
  assert.deepEqual([one.queriesCount, two.queriesCount], [1, 1]);
});

// Guards against peers that together send more bodies than the process can hold.
test("a request with a body is refused as not run while too much is held", () => {
  const { served, failures, serve, memory } = createHost();
  const { cancel } = serve(500, { bodyBytes: MEMORY_MAX_BYTES + 1 });
  serve(500, { bodyBytes: 1 });
  serve(500);
  assert.equal(served.length, 2);
  assert.deepEqual(failures, [
    { kind: "memory_short", isNotRun: true, hasReached: false },
  ]);
  cancel();
  cancel();
  assert.equal(memory.heldBytes, 0);
  serve(500, { bodyBytes: 1 });
  assert.equal(served.length, 3);
});

test("the run time is told of requests with and without a body", () => {
  const { runTimes, serve } = createHost();
  serve(1_000).queryRun?.();
  serve(1_000, { bodyBytes: 10 }).queryRun?.();
  assert.deepEqual(runTimes, [40, 40]);
});
