/** Measurements of one step of the scale benchmark. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { PlatformCounters } from "../../stand_ins/platform_limits.ts";
import { processorTimeMs } from "../hop/processor_time.ts";
import { Fleet, type FleetDaemon } from "./fleet.ts";
import { readIoBytes, readResidentBytes } from "./process_io.ts";

const SETTLE_MS = 15_000;
const QUIET_MS = 30_000;
const CHANGES_COUNT = 8;
const WATCHERS_COUNT = 12;
const POLL_INTERVAL_MS = 20;
const MS_PER_S = 1_000;

/** Figures over all daemons of a step. */
export type Spread = { mean: number; max: number };

/** Results of one step. */
export type ScaleStep = {
  readonly daemonsCount: number;
  /** Processor time for control, in share of a core. */
  readonly coreRatio: Spread;
  readonly residentBytes: Spread;
  /** Bytes read and written for control. */
  readonly bytesPerS: Spread;
  readonly platformCallsPerS: number;
  /** From the acceptance to in force at each daemon, in ms. */
  readonly configMs: { median: number; p99: number; worst: number };
  /** From the operator's call to draining at the last watching daemon, in ms. */
  readonly drainMs: number;
  /** From SIGKILL to not alive at the last watching daemon, in ms. */
  readonly killMs: number;
};

function spreadOf(values: readonly number[]): Spread {
  const sum = values.reduce((total, value) => total + value, 0);
  return { mean: sum / values.length, max: Math.max(...values) };
}

function percentile(sorted: readonly number[], ratio: number): number {
  const index = Math.ceil(sorted.length * ratio) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

async function countPlatformCalls(fleet: Fleet): Promise<number> {
  const answer = await request(`${fleet.platformUrl}/control/counters`);
  const { calls } = await answer.body.json() as PlatformCounters;
  return calls.read + calls.list + calls.write + calls.watch;
}

async function measureQuiet(fleet: Fleet) {
  const pids = fleet.daemons.map(({ program }) => program.pid);
  const callsBefore = await countPlatformCalls(fleet);
  const before = pids.map((pid) => ({
    cpuMs: processorTimeMs(pid),
    ...readIoBytes(pid),
  }));
  await sleep(QUIET_MS);
  const ratios: number[] = [];
  const rates: number[] = [];
  pids.forEach((pid, index) => {
    const start = before[index];
    const io = readIoBytes(pid);
    ratios.push((processorTimeMs(pid) - (start?.cpuMs ?? 0)) / QUIET_MS);
    const bytes = io.readBytes + io.writtenBytes - (start?.readBytes ?? 0) -
      (start?.writtenBytes ?? 0);
    rates.push(bytes * MS_PER_S / QUIET_MS);
  });
  const calls = await countPlatformCalls(fleet) - callsBefore;
  return {
    coreRatio: spreadOf(ratios),
    bytesPerS: spreadOf(rates),
    residentBytes: spreadOf(pids.map(readResidentBytes)),
    platformCallsPerS: calls * MS_PER_S / QUIET_MS,
  };
}

async function measureConfig(fleet: Fleet): Promise<ScaleStep["configMs"]> {
  const delaysMs: number[] = [];
  for (let change = 2; change < 2 + CHANGES_COUNT; change++) {
    const sample = fleet.daemons[0] as FleetDaemon;
    const before = (await fleet.readStatus(sample)).config.generation;
    await fleet.applyTables(change);
    await fleet.waitFor(({ config }) => config.generation > before);
    for (const daemon of fleet.daemons) {
      const { config } = await fleet.readStatus(daemon);
      const last = config.applied.at(-1);
      if (last?.acceptedEpochMs !== undefined) {
        delaysMs.push(last.appliedEpochMs - last.acceptedEpochMs);
      }
    }
  }
  delaysMs.sort((a, b) => a - b);
  return {
    median: percentile(delaysMs, 0.5),
    p99: percentile(delaysMs, 0.99),
    worst: delaysMs.at(-1) ?? 0,
  };
}

/** Waits until no watching daemon holds a member alive. */
async function watchLoss(
  fleet: Fleet,
  lost: FleetDaemon,
  watchers: readonly FleetDaemon[],
): Promise<void> {
  let pending = [...watchers];
  while (pending.length > 0) {
    const statuses = await Promise.all(
      pending.map((daemon) => fleet.readStatus(daemon)),
    );
    pending = pending.filter((_, index) =>
      statuses[index]?.members.some(({ instanceId, state }) =>
        instanceId === lost.id && state === "alive"
      )
    );
    await sleep(POLL_INTERVAL_MS);
  }
}

async function measureLoss(
  fleet: Fleet,
  lost: FleetDaemon,
  lose: () => void | Promise<void>,
): Promise<number> {
  const others = fleet.daemons.filter((daemon) => daemon !== lost);
  const stepCount = Math.max(1, Math.floor(others.length / WATCHERS_COUNT));
  const watchers = others.filter((_, index) => index % stepCount === 0);
  const startMs = performance.now();
  await lose();
  await watchLoss(fleet, lost, watchers);
  return performance.now() - startMs;
}

/**
 * Measures a fleet of one size.
 *
 * @param daemonsCount Daemons to start.
 * @returns Figures of the step.
 */
export async function measureStep(daemonsCount: number): Promise<ScaleStep> {
  const fleet = new Fleet(daemonsCount);
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    const quiet = await measureQuiet(fleet);
    const configMs = await measureConfig(fleet);
    const drained = fleet.daemons[1] as FleetDaemon;
    const drainMs = await measureLoss(fleet, drained, async () => {
      const answer = await request(`${drained.operatorUrl}/drain`, {
        method: "POST",
      });
      await answer.body.dump();
    });
    const killed = fleet.daemons[2] as FleetDaemon;
    const killMs = await measureLoss(
      fleet,
      killed,
      () => killed.program.signal("SIGKILL"),
    );
    return { daemonsCount, ...quiet, configMs, drainMs, killMs };
  } finally {
    await fleet.stop();
  }
}
