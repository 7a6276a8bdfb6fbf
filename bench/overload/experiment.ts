/**
 * One run of a deployment: baseline load, then the pressure, which is a time of
 * overload with one slowed pool, then baseline load again.
 */
import { once } from "node:events";
import { spawn } from "node:child_process";
import process from "node:process";
import { json } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import type { Settings } from "../../src/schemas/settings_schema.ts";
import type { RequestRecord } from "../../stand_ins/upstream_settings.ts";
import { DeploymentHarness } from "./deployment_harness.ts";
import {
  type Deployment,
  SERVICE_MS,
  SLOW_SERVICE_MS,
  type StreamRates,
} from "./deployments.ts";
import type { LoadPlan, LoadStream, StreamResult } from "./load_plan.ts";

/** Start of the pressure, in ms since the start of the run. */
export const PRESSURE_START_MS = 10_000;
/** End of the pressure, in ms since the start of the run. */
export const PRESSURE_END_MS = 25_000;
/** End of the load, in ms since the start of the run. */
export const RUN_END_MS = 45_000;
/** Length of the intervals of the results, in ms. */
export const BUCKET_MS = 500;

const LOAD_SOURCES_COUNT = 2;
const START_DELAY_MS = 1_500;
const TRIES_MAX_COUNT = 4;
const RETRY_DELAY_MS = 100;
const LOAD_SOURCE_PROGRAM = fileURLToPath(
  new URL("./load_source.js", import.meta.url),
);

/** Results of one run. */
export type RunResult = {
  readonly deployment: Deployment;
  readonly policy: Settings["policy"];
  readonly seed: number;
  /** Results of each load source. */
  readonly sources: readonly (readonly StreamResult[])[];
  /** Requests that reached upstreams during the pressure, by pool. */
  readonly pressureRequests: Readonly<Record<string, readonly RequestRecord[]>>;
};

function planStream(rates: StreamRates): LoadStream {
  const { baselinePerS, pressurePerS, ...stream } = rates;
  const baseline = baselinePerS / LOAD_SOURCES_COUNT;
  const pressure = pressurePerS / LOAD_SOURCES_COUNT;
  return {
    ...stream,
    triesMax: TRIES_MAX_COUNT,
    retryDelayMs: RETRY_DELAY_MS,
    phases: [
      { untilMs: PRESSURE_START_MS, ratePerS: baseline },
      { untilMs: PRESSURE_END_MS, ratePerS: pressure },
      { untilMs: RUN_END_MS, ratePerS: baseline },
    ],
  };
}

/** Offers the load of one source in a process of its own. */
async function offerLoad(plan: LoadPlan): Promise<StreamResult[]> {
  const child = spawn(process.execPath, [LOAD_SOURCE_PROGRAM], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  child.stdin.end(JSON.stringify(plan));
  const results = json(child.stdout) as Promise<StreamResult[]>;
  const [code] = await once(child, "exit");
  if (code !== 0) {
    throw new Error(`A load source ended with exit code ${code}`);
  }
  return await results;
}

async function applyPressure(
  harness: DeploymentHarness,
  slowedPool: string,
  startWallMs: number,
): Promise<{ before: RequestRecord[][]; after: RequestRecord[][] }> {
  await sleep(startWallMs + PRESSURE_START_MS - Date.now());
  const before = await harness.readRequests();
  await harness.changeBehaviour(slowedPool, { serviceMs: SLOW_SERVICE_MS });
  await sleep(startWallMs + PRESSURE_END_MS - Date.now());
  await harness.changeBehaviour(slowedPool, { serviceMs: SERVICE_MS });
  const after = await harness.readRequests();
  return { before, after };
}

/** Selects the requests that arrived during the pressure, by pool. */
function selectPressureRequests(
  harness: DeploymentHarness,
  records: { before: RequestRecord[][]; after: RequestRecord[][] },
  final: RequestRecord[][],
): Record<string, RequestRecord[]> {
  const byPool: Record<string, RequestRecord[]> = {};
  harness.instances.forEach(({ pool }, index) => {
    const from = records.before[index]?.length ?? 0;
    const to = records.after[index]?.length ?? 0;
    const requests = final[index]?.slice(from, to) ?? [];
    byPool[pool] = [...(byPool[pool] ?? []), ...requests];
  });
  return byPool;
}

/**
 * Runs a deployment once.
 *
 * @param deployment Deployment and its load.
 * @param options Policy of the daemons and seed of the load.
 * @returns Results of all load sources and requests at the upstreams.
 */
export async function runExperiment(
  deployment: Deployment,
  options: { policy: Settings["policy"]; seed: number },
): Promise<RunResult> {
  const harness = new DeploymentHarness(deployment, options.policy);
  try {
    await harness.start();
    const startWallMs = Date.now() + START_DELAY_MS;
    const entries = harness.instances.map(({ entryUrl }) => entryUrl);
    const plans = Array.from({ length: LOAD_SOURCES_COUNT }, (_, index) => ({
      seed: options.seed * 1_000 + index * 100,
      startWallMs,
      bucketMs: BUCKET_MS,
      entries,
      streams: deployment.streams.map(planStream),
    }));
    const [records, ...sources] = await Promise.all([
      applyPressure(harness, deployment.slowedPool, startWallMs),
      ...plans.map(offerLoad),
    ]);
    const final = await harness.readRequests();
    return {
      deployment,
      ...options,
      sources,
      pressureRequests: selectPressureRequests(harness, records, final),
    };
  } finally {
    await harness.stop();
  }
}
