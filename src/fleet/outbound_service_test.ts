import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { CallObserver } from "../decisions/call_graph.ts";
import type { ForwardedRequest } from "../link/upstream_path.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
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

const PARENT_ROUTE = "parent";

/** Creates a service whose forwarded requests are recorded. */
function createService(
  parent: { goalAtMs: number } | undefined,
  observer = new CallObserver(),
) {
  const sent: ForwardedRequest[] = [];
  const path = {
    member: { name: "m-1" },
    state: { upstreamId: "u-1" },
    send: (request: ForwardedRequest) => {
      sent.push(request);
      return { cancel: () => {} };
    },
  };
  const ignore = () => {};
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
    gate: {
      findParent: () =>
        parent && {
          ...parent,
          calledRouteNames: [],
          request: { routeName: PARENT_ROUTE },
        },
    },
    observer,
    graph: { isCalled: () => false },
    admission: { refusingPool: ignore },
    exchange: {
      paths: { choose: () => path },
      budget: { recordRequest: ignore },
      decisions: { record: ignore },
      onEnd: ignore,
      callerPool: "plates",
    },
  } as unknown as OutboundServiceParts;
  const service = new OutboundService(parts);
  const receive = () => {
    const message = {
      method: "GET",
      url: "/",
      headers: {},
      rawHeaders: [],
    } as unknown as IncomingMessage;
    const disconnect = service.handle(
      { message, body: null, arrivedMs: performance.now() },
      { answer: ignore, fail: ignore },
    );
    disconnect();
  };
  return { receive, sent };
}

// With a goal of their own, calls of new requests would overtake those of
// requests that have waited longer, until these miss their deadlines.
test("a call has the latency goal of the request that makes it", () => {
  const goalAtMs = performance.now() + 1_200;
  const { receive, sent } = createService({ goalAtMs });
  receive();
  const [call] = sent as [ForwardedRequest];
  assert.ok(call.goalLeftMs > ROUTE.latencyGoalMs);
  assert.ok(call.goalLeftMs <= 1_200);
  assert.equal(call.isRefusable, false);
});

// A caller's request may have the same deadline as a running request by chance.
// If it were taken for a call of that one, it would wait behind all others and
// could not be refused.
test("a request of a route that the running request never calls is not taken for a call", () => {
  const observer = new CallObserver();
  for (let run = 0; run < 10; run++) {
    observer.recordRun(PARENT_ROUTE, ["called"]);
  }
  const goalAtMs = performance.now() + 1_200;
  const { receive, sent } = createService({ goalAtMs }, observer);
  receive();
  const [request] = sent as [ForwardedRequest];
  assert.ok(request.goalLeftMs <= ROUTE.latencyGoalMs);
  assert.equal(request.isRefusable, true);
});

test("a request of a caller has the latency goal of its route", () => {
  const { receive, sent } = createService(undefined);
  receive();
  const [request] = sent as [ForwardedRequest];
  assert.ok(request.goalLeftMs <= ROUTE.latencyGoalMs);
  assert.equal(request.isRefusable, true);
});
