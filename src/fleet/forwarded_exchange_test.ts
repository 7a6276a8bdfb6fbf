import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ResultReceiver } from "../link/upstream_channel.ts";
import { type ExchangeParts, ForwardedExchange } from "./forwarded_exchange.ts";
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
