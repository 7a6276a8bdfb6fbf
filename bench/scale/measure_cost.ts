/** Cost of control in daemons without traffic. */
import { loadavg } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { PlatformCounters } from "../../stand_ins/platform_limits.ts";
import { processorTimeMs } from "../hop/processor_time.ts";
import type { Fleet, MeasuredDaemon } from "./fleet.ts";
import { readIoBytes, readResidentBytes } from "./process_io.ts";
import { type Spread, spreadOf } from "./spread.ts";

const IDLE_MS = 30_000;
const GC_WAIT_MS = 2_000;
const MS_PER_S = 1_000;

/** Cost of control at one size of the fleet. */
export type ControlCost = {
  /** Processor time of an idle daemon, as a share of a core. */
  readonly coreRatio: Spread;
  /** The same for a daemon without control. */
  readonly offCoreRatio: number;
  readonly receivedBytesPerS: Spread;
  readonly sentBytesPerS: Spread;
  /** Sum of both directions. */
  readonly bytesPerS: Spread;
  readonly residentBytes: Spread;
  /** Heap and external memory after a garbage collection. */
  readonly usedBytes: Spread;
  /** The same for a daemon without control that has the same tables. */
  readonly offUsedBytes: number;
  readonly platformReadsPerS: number;
  readonly platformWritesPerS: number;
  readonly waitingWatchesCount: number;
  /** Mean load of the machine over the last minute. */
  readonly loadAverage: number;
};

type Usage = { cpuMs: number; readBytes: number; writtenBytes: number };

function readUsage({ program }: MeasuredDaemon): Usage {
  const { pid } = program;
  return { cpuMs: processorTimeMs(pid), ...readIoBytes(pid) };
}

async function readCounters(fleet: Fleet): Promise<PlatformCounters> {
  const answer = await request(`${fleet.platformUrl}/control/counters`);
  return await answer.body.json() as PlatformCounters;
}

function readMetric(text: string, name: string): number {
  const match = new RegExp(`^${name} (\\S+)`, "m").exec(text);
  if (match === null) {
    throw new Error(`A daemon does not export the metric "${name}"`);
  }
  return Number(match[1]);
}

/** Heap and external memory in use, after a garbage collection. */
async function readUsedBytes(
  daemons: readonly MeasuredDaemon[],
): Promise<number[]> {
  daemons.forEach(({ program }) => program.signal("SIGUSR2"));
  await sleep(GC_WAIT_MS);
  return await Promise.all(daemons.map(async ({ operatorUrl }) => {
    const answer = await request(`${operatorUrl}/metrics`);
    const text = await answer.body.text();
    return readMetric(text, "nodejs_heap_size_used_bytes") +
      readMetric(text, "nodejs_external_memory_bytes");
  }));
}

function ratesOf(before: readonly Usage[], after: readonly Usage[]) {
  const rate = (field: keyof Usage) =>
    after.map((usage, index) =>
      (usage[field] - (before[index] as Usage)[field]) * MS_PER_S / IDLE_MS
    );
  return {
    cpu: rate("cpuMs"),
    read: rate("readBytes"),
    written: rate("writtenBytes"),
  };
}

/**
 * Measures idle daemons over 30 s. No operator listener is read during that
 * time, because an answer costs more processor time than one second of control.
 *
 * @param fleet Fleet after its start-up phase.
 * @returns Cost of control.
 */
export async function measureCost(fleet: Fleet): Promise<ControlCost> {
  const off = await fleet.startControlOff();
  const daemons = [...fleet.daemons, off];
  await sleep(GC_WAIT_MS);
  const countersBefore = await readCounters(fleet);
  const before = daemons.map(readUsage);
  await sleep(IDLE_MS);
  const { cpu, read, written } = ratesOf(before, daemons.map(readUsage));
  const counters = await readCounters(fleet);
  const callsPerS = (kind: keyof PlatformCounters["calls"]) =>
    (counters.calls[kind] - countersBefore.calls[kind]) * MS_PER_S / IDLE_MS;
  const fleetOnly = (values: readonly number[]) => values.slice(0, -1);
  const usedBytes = await readUsedBytes(daemons);
  const coreRatios = cpu.map((cpuMsPerS) => cpuMsPerS / MS_PER_S);
  return {
    coreRatio: spreadOf(fleetOnly(coreRatios)),
    offCoreRatio: coreRatios.at(-1) as number,
    receivedBytesPerS: spreadOf(fleetOnly(read)),
    sentBytesPerS: spreadOf(fleetOnly(written)),
    bytesPerS: spreadOf(
      fleetOnly(read.map((bytes, index) => bytes + (written[index] as number))),
    ),
    residentBytes: spreadOf(
      fleet.daemons.map(({ program }) => readResidentBytes(program.pid)),
    ),
    usedBytes: spreadOf(fleetOnly(usedBytes)),
    offUsedBytes: usedBytes.at(-1) as number,
    platformReadsPerS: callsPerS("read") + callsPerS("list") +
      callsPerS("watch"),
    platformWritesPerS: callsPerS("write"),
    waitingWatchesCount: counters.waitingWatchesCount,
    loadAverage: loadavg()[0] as number,
  };
}
