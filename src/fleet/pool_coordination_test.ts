import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import {
  type UpstreamChannel,
  UpstreamLoad,
} from "../link/upstream_channel.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { UPSTREAM_STATE } from "../testing/upstream_state.ts";
import { ChannelTable } from "./channel_table.ts";
import { PoolCoordination } from "./pool_coordination.ts";

const REPORTS_COUNT = 1_000;
const REPORT_INTERVAL_MS = 1_000;

// Many daemons that each offer less than half a run per second would report 0,
// so that a pool is taken for idle while they overload it.
test("reports of less than one run per second are right in the mean", () => {
  const random = new SeededRandom(1);
  const channels = new ChannelTable({ ownDataCentre: "a", random });
  const reports: (readonly number[])[] = [];
  const channel: UpstreamChannel = {
    member: {
      name: "plates-1",
      dataCentre: "a",
      pool: "plates",
      link: { host: "127.0.0.1", port: 1 },
    },
    state: { ...UPSTREAM_STATE, isServing: true },
    isSuspect: false,
    load: new UpstreamLoad(),
    reportOffer: (offeredPerS) => reports.push(offeredPerS),
    send: () => ({ cancel: () => {} }),
  };
  channels.add(channel);
  const coordination = new PoolCoordination(channels, {
    random,
    log: new NullLogger(),
  });
  for (let count = 0; count < REPORTS_COUNT; count++) {
    coordination.step("plates", [0.4, 0, 12.3], {
      competing: { shortestGoalMs: 500 },
      nowMs: count * REPORT_INTERVAL_MS,
    });
  }
  assert.equal(reports.length, REPORTS_COUNT);
  assert.ok(reports.flat().every(Number.isInteger));
  const meanOf = (priority: number) =>
    reports.reduce((sum, perS) => sum + (perS[priority] ?? NaN), 0) /
    REPORTS_COUNT;
  assert.ok(Math.abs(meanOf(0) - 0.4) < 0.05, `${meanOf(0)}`);
  assert.equal(meanOf(1), 0);
  assert.ok(Math.abs(meanOf(2) - 12.3) < 0.05, `${meanOf(2)}`);
});
