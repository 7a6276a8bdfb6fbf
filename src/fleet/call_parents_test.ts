import assert from "node:assert/strict";
import { test } from "node:test";
import { CallObserver } from "../decisions/routing/call_observer.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import { CallParents } from "./call_parents.ts";
import type { ServedRequest } from "./served_request.ts";

const ROUTE = { name: "votes" } as FleetRoute;
const PARENT_ROUTE = "read";
const EXPIRES_AT_MS = 1_000;

function createServed(): ServedRequest {
  return {
    request: { routeName: PARENT_ROUTE },
    calledRouteNames: [] as string[],
    chanceRouteNames: [] as string[],
  } as unknown as ServedRequest;
}

/** One running request, whose id is `p` and whose deadline is known. */
function createParents({ calls = false } = {}) {
  const observer = new CallObserver();
  const running = { served: createServed(), upstreamId: "u-1" };
  const parents = new CallParents({
    decodeParentId: (id) => id.split(".").slice(0, -1).join(".") || undefined,
    gate: {
      findRunning: (id) => id === "p" ? running.served : undefined,
      findByExpiry: (atMs) =>
        atMs === EXPIRES_AT_MS ? running.served : undefined,
      get upstreamId() {
        return running.upstreamId;
      },
    },
    graph: { calls: () => calls },
    observer,
  });
  const receive = (requestId: string, expiresAtMs = EXPIRES_AT_MS) => {
    const match = parents.match({ requestId, expiresAtMs });
    parents.record(ROUTE.name, match);
    return parents.parentOf(match, ROUTE)?.evidence;
  };
  const mayBeCall = (expiresAtMs: number) =>
    parents.mayBeUnnamedCall(
      parents.match({ requestId: "other", expiresAtMs }),
      ROUTE,
    );
  const run = () =>
    observer.recordRun(PARENT_ROUTE, {
      calledRouteNames: running.served.calledRouteNames.splice(0),
      isSuccessful: true,
    });
  return { receive, mayBeCall, run, running, observer };
}

test("an id is evidence for every route, a deadline only where the parent may call the route", () => {
  const { receive, run } = createParents();
  assert.equal(receive("other"), "deadline");
  for (let count = 0; count < 4; count++) {
    run();
  }
  assert.equal(receive("other"), undefined);
  assert.equal(receive("p.1"), "id");
  const known = createParents({ calls: true });
  for (let count = 0; count < 4; count++) {
    known.run();
  }
  assert.equal(known.receive("other"), "deadline");
});

// Guards against requests of callers that are counted as calls of an upstream
// that names its calls, and against edges of the call graph that stay after it.
test("once an upstream names its calls, matching deadlines are ignored and what they taught is discarded", () => {
  const { receive, run, running, observer } = createParents();
  for (let count = 0; count < 8; count++) {
    receive("other");
    run();
  }
  assert.deepEqual(observer.edges(), [[PARENT_ROUTE, ROUTE.name, 1]]);
  assert.equal(observer.isCalled(ROUTE.name), true);

  receive("p.1");
  assert.deepEqual(observer.edges(), []);
  assert.equal(observer.isCalled(ROUTE.name), false);
  assert.equal(receive("other"), undefined);
  running.served.calledRouteNames.length = 0;
  receive("other");
  assert.deepEqual(running.served.calledRouteNames, []);

  running.upstreamId = "u-2";
  assert.equal(receive("other"), "deadline");
});

// Guards against 401 for calls of an upstream that does not name them, and
// against other answers than 401 for callers without a key elsewhere.
test("a request may be an unnamed call on a route that the upstream calls without naming", () => {
  const { receive, mayBeCall, running } = createParents();
  assert.equal(mayBeCall(0), false);
  assert.equal(mayBeCall(EXPIRES_AT_MS), true);
  for (let count = 0; count < 8; count++) {
    receive("other");
  }
  assert.equal(mayBeCall(0), true);
  receive("p.1");
  assert.equal(mayBeCall(0), false);
  assert.equal(mayBeCall(EXPIRES_AT_MS), false);
  running.upstreamId = "u-2";
  for (let count = 0; count < 8; count++) {
    receive("other", 0);
  }
  assert.equal(mayBeCall(0), false);
});
