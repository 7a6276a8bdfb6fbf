import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextIteration } from "node:timers/promises";
import { StartQueue } from "../core/start_queue.ts";
import { CallObserver } from "../decisions/routing/call_observer.ts";
import type {
  ForwardedRequest,
  ForwardFailure,
} from "../link/upstream_channel.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { DecisionLog } from "./decision_log.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import { UpstreamGate } from "./upstream_gate.ts";
import type { UpstreamHttpClient } from "./upstream_http_client.ts";

const UPSTREAM_ID = "u-1";

/** Creates the gate of an upstream that has one slot and never answers. */
function createGate(slotsCount = 1, inputDelay = { isBehind: false }) {
  const sentPaths: string[] = [];
  const upstream = {
    report: { upstreamId: UPSTREAM_ID, slotsCount },
    isServing: true,
    isLeaving: false,
    reportedAtMs: 0,
    stateName: "serving",
  } as unknown as LocalUpstream;
  const client = {
    send: ({ path }: ForwardedRequest) => {
      sentPaths.push(path);
      return { cancel: () => {} };
    },
  } as unknown as UpstreamHttpClient;
  const gate = new UpstreamGate({
    upstream,
    client,
    heartbeatMs: 1_500,
    observer: new CallObserver(),
    startQueue: new StartQueue(inputDelay),
    decisions: new DecisionLog(new NullLogger()),
    log: new NullLogger(),
    requestIdHeader: "request-id",
    tenantHeader: "tenant",
  });
  gate.updateLimit();
  const failures: ForwardFailure[] = [];
  const serve = (path: string, options: Partial<ForwardedRequest> = {}) =>
    gate.serve({
      upstreamId: UPSTREAM_ID,
      method: "GET",
      path,
      headers: [],
      body: null,
      remainingMs: 600,
      routeName: "r",
      goalRemainingMs: 300,
      isRefusable: false,
      callerPool: "p",
      ...options,
    }, {
      onAnswer: () => {},
      onFailure: (failure) => failures.push(failure),
    });
  return { gate, serve, sentPaths, failures };
}

// The queue is ordered by latency goal. If the expected wait included the whole
// queue, a request would be refused because of requests that it overtakes.
test("a request is not refused because of waiting calls with a later latency goal", () => {
  const { serve, sentPaths, failures } = createGate();
  const running = serve("/running");
  const waiting = Array.from({ length: 20 }, () => serve("/call"));
  const urgent = serve("/urgent", { goalRemainingMs: 150, isRefusable: true });
  assert.deepEqual(failures, []);
  running.cancel();
  assert.deepEqual(sentPaths, ["/running", "/urgent"]);
  [urgent, ...waiting].forEach((sent) => sent.cancel());
});

// Without refusals the queue would grow until no request in it meets its goal.
test("a request is refused when its expected wait exceeds half of the time until its goal", () => {
  const { serve, failures } = createGate();
  const sent = Array.from(
    { length: 20 },
    () => serve("/read", { isRefusable: true }),
  );
  assert.ok(failures.length > 0);
  assert.ok(
    failures.every(({ kind, isNotRun }) => kind === "queue_full" && isNotRun),
  );
  sent.forEach((request) => request.cancel());
});

// A process that was paused reads the answer that frees a slot before its timers
// fire.
test("a waiting request whose deadline passed during a pause is not run when a slot becomes free", () => {
  const { serve, sentPaths, failures } = createGate();
  const running = serve("/running");
  serve("/waiting", { remainingMs: 20 });
  const pauseEndMs = performance.now() + 60;
  while (performance.now() < pauseEndMs) {
    // The event loop is blocked, as in a paused process.
  }
  running.cancel();
  assert.deepEqual(sentPaths, ["/running"]);
  assert.deepEqual(failures, [
    { kind: "deadline_exceeded", isNotRun: true, hasReached: false },
  ]);
});

// Guards against work for callers that have left: a process that was paused reads
// the answer that frees a slot before the cancel of the request that waits for it.
test("a waiting request whose cancel has arrived does not run when a slot becomes free", async () => {
  const inputDelay = { isBehind: false };
  const { serve, sentPaths } = createGate(1, inputDelay);
  const running = serve("/running");
  const [gone] = [serve("/gone"), serve("/wanted")];
  inputDelay.isBehind = true;
  running.cancel();
  gone.cancel();
  for (let iteration = 0; iteration < 3; iteration++) {
    await nextIteration();
  }
  assert.deepEqual(sentPaths, ["/running", "/wanted"]);
});

// Callers would send more to a slow upstream than it handles, or would follow
// each short trial of another limit.
test("the learned limit is published, and that of a trial only applies", () => {
  const { gate, serve, sentPaths } = createGate(20);
  assert.equal(gate.limitCount, 19);
  Object.defineProperty(gate.capacity, "limitCount", { value: 3 });
  gate.capacity.presentLimitCount = () => 2;
  const sent = Array.from({ length: 5 }, () => serve("/read"));
  assert.equal(sentPaths.length, 2);
  assert.equal(gate.limitCount, 3);
  gate.capacity.presentLimitCount = () => 3;
  gate.tick(performance.now());
  assert.equal(sentPaths.length, 3);
  sent.forEach((request) => request.cancel());
});
