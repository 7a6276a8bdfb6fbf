/** One run of a deployment through calm, pressure and calm. */
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

/** Phases of a run, in ms since its start. */
export const CALM_END_MS = 10_000;
/** End of the pressure. */
export const PRESSURE_END_MS = 25_000;
/** End of the run. */
export const RUN_END_MS = 45_000;
/** Length of the intervals of the results. */
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
  /** Records of the upstreams during the pressure, by pool. */
  readonly pressureEffects: Readonly<Record<string, readonly RequestRecord[]>>;
};

function planStream(rates: StreamRates): LoadStream {
  const { calmPerS, pressurePerS, ...stream } = rates;
  const calm = calmPerS / LOAD_SOURCES_COUNT;
  const pressure = pressurePerS / LOAD_SOURCES_COUNT;
  return {
    ...stream,
    triesMax: TRIES_MAX_COUNT,
    retryDelayMs: RETRY_DELAY_MS,
    phases: [
      { untilMs: CALM_END_MS, ratePerS: calm },
      { untilMs: PRESSURE_END_MS, ratePerS: pressure },
      { untilMs: RUN_END_MS, ratePerS: calm },
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
  bed: DeploymentHarness,
  deepPool: string,
  startWallMs: number,
): Promise<{ before: RequestRecord[][]; after: RequestRecord[][] }> {
  await sleep(startWallMs + CALM_END_MS - Date.now());
  const before = await bed.readEffects();
  await bed.changeBehaviour(deepPool, { serviceMs: SLOW_SERVICE_MS });
  await sleep(startWallMs + PRESSURE_END_MS - Date.now());
  await bed.changeBehaviour(deepPool, { serviceMs: SERVICE_MS });
  const after = await bed.readEffects();
  return { before, after };
}

/** Selects the records of requests that arrived during the pressure. */
function selectPressure(
  bed: DeploymentHarness,
  marks: { before: RequestRecord[][]; after: RequestRecord[][] },
  final: RequestRecord[][],
): Record<string, RequestRecord[]> {
  const byPool: Record<string, RequestRecord[]> = {};
  bed.instances.forEach(({ pool }, index) => {
    const from = marks.before[index]?.length ?? 0;
    const to = marks.after[index]?.length ?? 0;
    const effects = final[index]?.slice(from, to) ?? [];
    byPool[pool] = [...(byPool[pool] ?? []), ...effects];
  });
  return byPool;
}

/**
 * Runs a deployment once.
 *
 * @param deployment Deployment and its load.
 * @param options Policy of the daemons and seed of the load.
 * @returns Results of all load sources and records of the upstreams.
 */
export async function runExperiment(
  deployment: Deployment,
  options: { policy: Settings["policy"]; seed: number },
): Promise<RunResult> {
  const bed = new DeploymentHarness(deployment, options.policy);
  try {
    await bed.start();
    const startWallMs = Date.now() + START_DELAY_MS;
    const entries = bed.instances.map(({ entryUrl }) => entryUrl);
    const plans = Array.from({ length: LOAD_SOURCES_COUNT }, (_, index) => ({
      seed: options.seed * 1_000 + index * 100,
      startWallMs,
      bucketMs: BUCKET_MS,
      entries,
      streams: deployment.streams.map(planStream),
    }));
    const [marks, ...sources] = await Promise.all([
      applyPressure(bed, deployment.deepPool, startWallMs),
      ...plans.map(offerLoad),
    ]);
    const final = await bed.readEffects();
    return {
      deployment,
      ...options,
      sources,
      pressureEffects: selectPressure(bed, marks, final),
    };
  } finally {
    await bed.stop();
  }
}
