import assert from "node:assert/strict";
import { test } from "node:test";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ResultReceiver } from "../link/upstream_channel.ts";
import type { ExchangeParts } from "./exchange_parts.ts";
import { ForwardedExchange } from "./forwarded_exchange.ts";
import type { RoutedRequest } from "./routed_request.ts";

const REQUEST = {
  requestId: "a",
  method: "GET",
  path: "/",
  headers: [],
  body: null,
  route: { name: "r", attemptsMax: 2 } as FleetRoute,
  pool: "votes",
  arrivedAtMs: 0,
  inputDelayMs: 0,
  expiresAtMs: Infinity,
  goalAtMs: Infinity,
  isCall: false,
  tenantName: undefined,
  priority: 0,
  key: undefined,
} satisfies RoutedRequest;

// Guards against an attempt that goes on after its caller has left, because the
// handle of an earlier one, refused at once, takes its place.
test("the attempt that follows one that is refused at once is cancelled with the request", () => {
  const cancelled: string[] = [];
  const createChannel = (name: string, refuses: boolean) => ({
    member: { name },
    state: { upstreamId: name },
    send: (_request: unknown, receiver: ResultReceiver) => {
      if (refuses) {
        const kind = "no_upstream";
        receiver.onFailure({ kind, isNotRun: true, hasReached: false });
      }
      return { cancel: () => cancelled.push(name) };
    },
  });
  const channels = [createChannel("full", true), createChannel("next", false)];
  const ignore = () => {};
  const parts = {
    channels: { choose: () => channels.shift() },
    budget: { recordRequest: ignore },
    decisions: { record: ignore },
    onEnd: ignore,
  } as unknown as ExchangeParts;
  const exchange = new ForwardedExchange(
    { ...REQUEST, expiresAtMs: performance.now() + 1_000 },
    { answer: ignore, fail: ignore },
    parts,
  );
  exchange.start();
  exchange.cancel();
  assert.deepEqual(cancelled, ["next"]);
});

/** Starts a request of a tenant whose usage cap decides later. */
function startWaiting({ expiresInMs = 1_000, recheck = "" } = {}) {
  const events: string[] = [];
  let decide: (decision: CapDecision) => void = () => {};
  const parts = {
    channels: { choose: () => void events.push("chosen") },
    budget: { recordRequest: () => {} },
    decisions: { record: () => {} },
    usage: {
      admit: (_: string, onDecision: typeof decide) => {
        decide = onDecision;
        return () => events.push("usage ended");
      },
    },
    recheckKey: () => recheck || undefined,
    onEnd: () => {},
  } as unknown as ExchangeParts;
  const exchange = new ForwardedExchange(
    {
      ...REQUEST,
      tenantName: "amber",
      key: "k-1",
      expiresAtMs: performance.now() + expiresInMs,
    },
    {
      answer: () => {},
      fail: (kind, retryAfterMs) =>
        events.push(`${kind} ${retryAfterMs ?? "-"}`),
    },
    parts,
  );
  exchange.start();
  return {
    events,
    exchange,
    decide: (decision: CapDecision) => decide(decision),
  };
}

// Guards against a request that is sent before or without its usage cap's
// decision, after its caller has left, or with a key that was withdrawn
// meanwhile.
test("a request of a tenant waits for its usage cap, and its key is checked again", () => {
  const admitted = startWaiting();
  assert.deepEqual(admitted.events, []);
  admitted.decide({ isAdmitted: true });
  assert.deepEqual(admitted.events, ["chosen", "usage ended", "no_upstream -"]);

  const capped = startWaiting();
  capped.decide({ isAdmitted: false, retryAfterMs: 730 });
  assert.deepEqual(capped.events, ["usage ended", "usage_capped 730"]);

  const withdrawn = startWaiting({ recheck: "credential_unknown" });
  withdrawn.decide({ isAdmitted: true });
  assert.deepEqual(withdrawn.events, ["usage ended", "credential_unknown -"]);

  const left = startWaiting();
  left.exchange.cancel();
  left.decide({ isAdmitted: true });
  assert.deepEqual(left.events, ["usage ended"]);
});

test("the wait for a usage cap ends at the deadline", () => {
  const { events, decide } = startWaiting({ expiresInMs: -1 });
  decide({ isAdmitted: true });
  assert.deepEqual(events, ["usage ended", "deadline_exceeded -"]);
});

// Guards against work without use: a request may wait in the process before it is
// started.
test("a request whose deadline has passed before its start is not sent", () => {
  const events = failAttempts([{ isAdmitted: true }], { expiresInMs: -1 });
  assert.deepEqual(events, ["charged", "deadline_exceeded", "usage ended"]);
});

/** Returns what happens to a request whose attempts all fail while they run. */
function failAttempts(
  decisions: CapDecision[],
  { expiresInMs = 1_000 } = {},
): string[] {
  const events: string[] = [];
  const channel = {
    member: { name: "one" },
    send: (_request: unknown, receiver: ResultReceiver) => {
      events.push("sent");
      const kind = "upstream_failed";
      receiver.onFailure({ kind, isNotRun: false, hasReached: true });
      return { cancel: () => {} };
    },
  };
  const parts = {
    channels: { choose: () => channel },
    budget: { recordRequest: () => {}, take: () => true },
    decisions: { record: () => {} },
    daemonsCount: () => 1,
    runsPerRequest: () => 1,
    usage: {
      admit: (_: string, onDecision: (decision: CapDecision) => void) => {
        events.push("charged");
        onDecision(decisions.shift()!);
        return () => events.push("usage ended");
      },
    },
    onEnd: () => {},
  } as unknown as ExchangeParts;
  const exchange = new ForwardedExchange(
    {
      ...REQUEST,
      route: { ...REQUEST.route, idempotent: true },
      tenantName: "amber",
      expiresAtMs: performance.now() + expiresInMs,
    },
    { answer: () => {}, fail: (kind) => events.push(kind) },
    parts,
  );
  exchange.start();
  return events;
}

// Guards against runs beyond the usage cap, and against the answer that a request
// has not run, although its first attempt may have run.
test("a retry after a run is charged, and not sent without a token", () => {
  const admitted = failAttempts([{ isAdmitted: true }, { isAdmitted: true }]);
  const happened = ["charged", "sent", "charged", "sent", "upstream_failed"];
  const withoutEnds = admitted.filter((event) => event !== "usage ended");
  assert.deepEqual(withoutEnds, happened);
  assert.equal(admitted.length - withoutEnds.length, 2);
  const refused = failAttempts([
    { isAdmitted: true },
    { isAdmitted: false, retryAfterMs: 900 },
  ]).filter((event) => event !== "usage ended");
  assert.deepEqual(refused, ["charged", "sent", "charged", "upstream_failed"]);
});

/**
 * Sends a call to a pool whose upstreams refuse all requests. The daemon `b` is
 * lost after some sends.
 */
function sendRefusedCall(
  { isRefusing, lostAfterCount = Infinity }: {
    isRefusing: boolean;
    lostAfterCount?: number;
  },
): string[] {
  const sent: string[] = [];
  const createChannel = (name: string) => ({
    member: { name },
    state: { upstreamId: name },
    send: (_request: unknown, receiver: ResultReceiver) => {
      const hasReached = name !== "b" || sent.length < lostAfterCount;
      sent.push(name);
      const kind = hasReached ? "upstream_refused" : "peer_failed";
      receiver.onFailure({ kind, isNotRun: true, hasReached });
      return { cancel() {} };
    },
  });
  const channels = ["a", "b", "c"].map(createChannel);
  const ignore = () => {};
  const parts = {
    channels: { choose: () => channels.shift() },
    budget: {
      recordRequest: ignore,
      take: () => true,
      takeForRefused: () => true,
    },
    decisions: { record: ignore },
    daemonsCount: () => 1,
    runsPerRequest: () => 1,
    isRefusing: () => isRefusing,
    onEnd: ignore,
  } as unknown as ExchangeParts;
  new ForwardedExchange(
    { ...REQUEST, isCall: true, expiresAtMs: performance.now() + 1_000 },
    { answer: ignore, fail: ignore },
    parts,
  ).start();
  return sent;
}

// Guards against a request that fails for one refused call, although the
// upstream that refused it would take it a moment later.
test("a call that is refused for overload is sent again, to no more upstreams than its route allows", () => {
  assert.deepEqual(sendRefusedCall({ isRefusing: false }), ["a", "b"]);
  const sent = sendRefusedCall({ isRefusing: true });
  assert.deepEqual(sent, ["a", "b", "b", "b", "b", "b", "b", "b"]);
});

// Guards against a request that is counted as waiting although it runs, and as
// running although the upstream has refused it.
test("the start of a request is told to the usage cap that asks for it", () => {
  const startedAtMs: (number | undefined)[] = [];
  const receivers: ResultReceiver[] = [];
  let query = () => {};
  let endedWithMs: number | undefined;
  const channel = {
    member: { name: "one" },
    send: (_request: unknown, receiver: ResultReceiver) => {
      receivers.push(receiver);
      return { cancel: () => {}, queryRun: () => receiver.onRunning?.(4_000) };
    },
  };
  const parts = {
    channels: { choose: () => channel },
    budget: { recordRequest: () => {}, take: () => true },
    decisions: { record: () => {} },
    daemonsCount: () => 1,
    runsPerRequest: () => 1,
    usage: {
      admit: (
        _: string,
        onDecision: (decision: CapDecision) => void,
        queryStart: (mark: (atMs: number | undefined) => void) => void,
      ) => {
        query = () => queryStart((atMs) => startedAtMs.push(atMs));
        onDecision({ isAdmitted: true });
        return (atMs: number) => endedWithMs = atMs;
      },
    },
    onEnd: () => {},
  } as unknown as ExchangeParts;
  const exchange = new ForwardedExchange(
    {
      ...REQUEST,
      tenantName: "amber",
      expiresAtMs: performance.now() + 60_000,
    },
    { answer: () => {}, fail: () => {} },
    parts,
  );
  exchange.start();
  query();
  assert.ok(startedAtMs[0]! <= performance.now() - 4_000);
  receivers[0]!.onFailure({
    kind: "upstream_refused",
    isNotRun: true,
    hasReached: true,
  });
  assert.equal(receivers.length, 2);
  assert.deepEqual(startedAtMs.slice(1), [undefined]);
  query();
  exchange.cancel();
  assert.equal(endedWithMs, startedAtMs[2]);
});

// Guards against a charge that is given back although the request may have run.
test("a request is charged unless all attempts have certainly not run", () => {
  const endOf = (isNotRun: boolean | undefined): number | undefined => {
    let started: number | undefined;
    const channels = [{
      member: { name: "one" },
      send: (_request: unknown, receiver: ResultReceiver) => {
        if (isNotRun !== undefined) {
          const kind = "upstream_failed";
          receiver.onFailure({ kind, isNotRun, hasReached: true });
        }
        return { cancel: () => {} };
      },
    }];
    const parts = {
      channels: { choose: () => channels.shift() },
      budget: { recordRequest: () => {}, take: () => true },
      decisions: { record: () => {} },
      daemonsCount: () => 1,
      runsPerRequest: () => 1,
      usage: {
        admit: (_: string, onDecision: (decision: CapDecision) => void) => {
          onDecision({ isAdmitted: true });
          return (startedAtMs: number | undefined) => started = startedAtMs;
        },
      },
      onEnd: () => {},
    } as unknown as ExchangeParts;
    const expiresAtMs = performance.now() + 60_000;
    const exchange = new ForwardedExchange(
      { ...REQUEST, tenantName: "amber", expiresAtMs },
      { answer: () => {}, fail: () => {} },
      parts,
    );
    exchange.start();
    exchange.cancel();
    return started;
  };
  assert.equal(endOf(true), undefined);
  assert.ok(endOf(false) !== undefined);
  // The caller leaves while the attempt is open.
  assert.ok(endOf(undefined) !== undefined);
});

// Guards against calls that use up their sends at a daemon that has left, while
// another upstream that has refused them still serves.
test("a refused call is not sent again to a daemon that is lost meanwhile", () => {
  assert.deepEqual(
    sendRefusedCall({ isRefusing: true, lostAfterCount: 3 }),
    ["a", "b", "b", "b", "a", "a", "a", "a"],
  );
  assert.deepEqual(
    sendRefusedCall({ isRefusing: true, lostAfterCount: 5 }),
    ["a", "b", "b", "b", "b", "b", "a", "a"],
  );
});
