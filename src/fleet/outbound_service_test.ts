import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { CallObserver } from "../decisions/routing/call_observer.ts";
import type { ForwardedRequest } from "../link/upstream_channel.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import { CallParents } from "./call_parents.ts";
import { CallTimes } from "./call_times.ts";
import type { ServedRequest } from "./served_request.ts";
import {
  OutboundService,
  type OutboundServiceParts,
} from "./outbound_service.ts";

const ROUTE = {
  name: "r",
  timeoutMs: 800,
  latencyGoalMs: 300,
  priority: 0,
} as FleetRoute;

/** Mean time at the upstream. */
const RUN_MS = 50;

const PARENT_ROUTE = "parent";

const PARENT_ID = "9c41";

/** Creates a service whose forwarded requests are recorded. */
function createService(
  parent: { goalAtMs: number } | undefined,
  observer = new CallObserver(),
  namedParent?: { goalAtMs: number },
  graph = { isCalled: (_: string) => false, calls: () => false },
) {
  const sent: ForwardedRequest[] = [];
  const channel = {
    member: { name: "m-1" },
    state: { upstreamId: "u-1" },
    send: (request: ForwardedRequest) => {
      sent.push(request);
      return { cancel: () => {} };
    },
  };
  const ignore = () => {};
  const callTimes = new CallTimes();
  const decodeParentId = () => namedParent && PARENT_ID;
  const createServed = (properties: { goalAtMs: number } | undefined) =>
    properties && {
      ...properties,
      calledRouteNames: [] as string[],
      chanceRouteNames: [] as string[],
      callTimes,
      request: { routeName: PARENT_ROUTE },
    } as ServedRequest;
  const parts = {
    names: {
      deadlineMs: "deadline",
      requestId: "request-id",
      targetUpstream: "target",
      callerPool: "pool",
    },
    config: {
      routes: { match: () => ROUTE, choosePool: () => "plates" },
      version: 1,
    },
    decodeParentId,
    callParents: new CallParents({
      decodeParentId,
      gate: {
        findRunning: (id) =>
          id === PARENT_ID ? createServed(namedParent) : undefined,
        findByExpiry: () => createServed(parent),
        upstreamId: "u-1",
      },
      observer,
      graph,
    }),
    observer,
    graph,
    admission: { findRefusingPool: ignore, isCoordinated: () => false },
    heldBytes: () => 0,
    exchange: {
      channels: { choose: () => channel, longestRunMs: () => RUN_MS },
      budget: { recordRequest: ignore },
      decisions: { record: ignore },
      onEnd: ignore,
      callerPool: "plates",
    },
  } as unknown as OutboundServiceParts;
  const service = new OutboundService(parts);
  const failures: string[] = [];
  const receive = () => {
    const message = {
      method: "GET",
      url: "/",
      headers: {},
      rawHeaders: [],
    } as unknown as IncomingMessage;
    const disconnect = service.handle(
      {
        message,
        body: null,
        arrivedAtMs: performance.now(),
        inputDelayMs: 0,
      },
      { answer: ignore, fail: (kind) => failures.push(kind) },
    );
    disconnect();
  };
  const stop = (remainingMs = 2_400) =>
    service.stop(performance.now() + remainingMs);
  return { receive, sent, failures, stop, callTimes };
}

/** Observes runs of the parent's route, which calls the route `called`. */
function observeRuns(): CallObserver {
  const observer = new CallObserver();
  for (let run = 0; run < 10; run++) {
    observer.recordRun(PARENT_ROUTE, {
      calledRouteNames: ["called"],
      isSuccessful: true,
    });
  }
  return observer;
}

// With latency goals of their own, calls of new requests would overtake calls
// of older requests until the older requests miss their deadlines.
test("a downstream call has the latency goal of the request that makes it", () => {
  const goalAtMs = performance.now() + 1_200;
  const { receive, sent } = createService({ goalAtMs });
  receive();
  const [call] = sent as [ForwardedRequest];
  assert.ok(call.goalRemainingMs > ROUTE.latencyGoalMs);
  assert.ok(call.goalRemainingMs <= 1_200);
  assert.equal(call.isRefusable, false);
});

// A caller's request may have the same deadline as a running request by chance.
// If it were treated as a downstream call, it would inherit the other request's
// latency goal, wait behind requests with nearer goals, and could not be
// refused.
test("a request of a route that the running request never calls is not treated as a downstream call", () => {
  const goalAtMs = performance.now() + 1_200;
  const { receive, sent } = createService({ goalAtMs }, observeRuns());
  receive();
  const [request] = sent as [ForwardedRequest];
  assert.ok(request.goalRemainingMs <= ROUTE.latencyGoalMs);
  assert.equal(request.isRefusable, true);
});

// The deadline of a call may differ from that of the request that makes it. A
// call that is not recognized is refused like a request of a caller, and then
// the work of the request that made it is lost.
test("a request whose id names a running request is a downstream call, whatever its deadline", () => {
  const goalAtMs = performance.now() + 1_200;
  const { receive, sent } = createService(undefined, new CallObserver(), {
    goalAtMs,
  });
  receive();
  const [call] = sent as [ForwardedRequest];
  assert.equal(call.isRefusable, false);
  assert.ok(call.goalRemainingMs > ROUTE.latencyGoalMs);
});

test("a request of a caller has the latency goal of its route", () => {
  const { receive, sent } = createService(undefined);
  receive();
  const [request] = sent as [ForwardedRequest];
  assert.ok(request.goalRemainingMs <= ROUTE.latencyGoalMs);
  assert.equal(request.isRefusable, true);
});

// Guards against requests that are accepted late in a planned stop and cut at
// its end.
test("after the stop, a request of a caller is refused, and a call of a running request is not", () => {
  const goalAtMs = performance.now() + 1_200;
  const caller = createService(undefined);
  caller.stop();
  caller.receive();
  assert.deepEqual(caller.failures, ["draining"]);
  assert.deepEqual(caller.sent, []);

  const upstream = createService(undefined, new CallObserver(), { goalAtMs });
  upstream.stop();
  upstream.receive();
  assert.equal(upstream.sent.length, 1);
});

/** Graph in which the route of the tests is called, by the parent's route too. */
const CALLED_GRAPH = { isCalled: () => true, calls: () => true };

// Guards against requests of callers that are accepted late in a planned stop
// because endpoints call their route, and cut at its end.
test("after the stop, a request of a called route is refused unless it is the call of a running request", () => {
  const caller = createService(
    undefined,
    new CallObserver(),
    undefined,
    CALLED_GRAPH,
  );
  caller.stop();
  caller.receive();
  assert.deepEqual(caller.failures, ["draining"]);
  assert.deepEqual(caller.sent, []);

  const goalAtMs = performance.now() + 1_200;
  const upstream = createService(
    { goalAtMs },
    observeRuns(),
    undefined,
    CALLED_GRAPH,
  );
  upstream.stop();
  upstream.receive();
  assert.equal(upstream.sent.length, 1);
});

// A caller's request may have the deadline of a running request by chance.
test("after the stop, a request with the deadline of a request that never calls its route is refused", () => {
  const goalAtMs = performance.now() + 1_200;
  const caller = createService({ goalAtMs }, observeRuns(), undefined, {
    ...CALLED_GRAPH,
    calls: () => false,
  });
  caller.stop();
  caller.receive();
  assert.deepEqual(caller.failures, ["draining"]);
  assert.deepEqual(caller.sent, []);
});

// Guards against calls that are cut at the end of a planned stop, where their
// upstream may be running them.
test("after the stop, a call that cannot end before the process is refused", () => {
  const goalAtMs = performance.now() + 1_200;
  const upstream = createService(undefined, new CallObserver(), { goalAtMs });
  upstream.stop(RUN_MS);
  upstream.receive();
  assert.deepEqual(upstream.failures, ["draining"]);
  assert.deepEqual(upstream.sent, []);
});

// The time that a request waits for its calls says nothing of its upstream. A
// call that never ends would make the own time of the request negative.
test("the time of a downstream call counts until its end, and that of a caller's request does not", () => {
  const goalAtMs = performance.now() + 1_200;
  const call = createService({ goalAtMs });
  call.receive();
  const nowMs = performance.now();
  assert.ok(call.callTimes.totalMs(nowMs) > 0);
  assert.equal(
    call.callTimes.totalMs(nowMs + 1_000),
    call.callTimes.totalMs(nowMs),
  );
  const other = createService({ goalAtMs }, observeRuns());
  other.receive();
  assert.equal(other.callTimes.totalMs(performance.now()), 0);
});
