import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import {
  type UpstreamChannel,
  UpstreamLoad,
} from "../link/upstream_channel.ts";
import { UPSTREAM_STATE } from "../testing/upstream_state.ts";
import { ChannelTable } from "./channel_table.ts";

const POOL = "plates";
const RUN_MS = 30;

function createChannel(
  name: string,
  options: { isSuspect?: boolean; isStopping?: boolean; dataCentre?: string },
): UpstreamChannel {
  const { isSuspect = false, isStopping = false, dataCentre = "a" } = options;
  const load = new UpstreamLoad();
  load.update([0, RUN_MS, 0]);
  return {
    member: { name, dataCentre, pool: POOL, link: { host: "h", port: 1 } },
    state: { ...UPSTREAM_STATE, upstreamId: name, isStopping },
    isSuspect,
    load,
    send: () => ({ cancel: () => {} }),
  };
}

function chosenNames(
  channels: readonly UpstreamChannel[],
): Set<string | undefined> {
  const table = new ChannelTable({
    ownDataCentre: "a",
    random: new SeededRandom(1),
  });
  channels.forEach((channel) => table.add(channel));
  const choose = () =>
    table.choose(POOL, {
      routeName: "r",
      remainingMs: 500,
      tried: new Set(),
    })?.member.name;
  return new Set(Array.from({ length: 50 }, choose));
}

// Requests to an unreachable instance would fail although other upstreams
// serve.
test("a suspect or stopping upstream is chosen only when no other serves", () => {
  const suspect = createChannel("suspect", { isSuspect: true });
  const stopping = createChannel("stopping", { isStopping: true });
  const remote = createChannel("remote", { dataCentre: "b" });
  assert.deepEqual(
    chosenNames([suspect, stopping, remote]),
    new Set(["remote"]),
  );
  assert.deepEqual(
    chosenNames([suspect, stopping]),
    new Set(["suspect", "stopping"]),
  );
});

test("no upstream is chosen from a pool without channels", () => {
  assert.deepEqual(chosenNames([]), new Set([undefined]));
});
