/** Measurements of one step of the scale benchmark. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Status } from "../../src/schemas/status_schema.ts";
import { Fleet, type FleetDaemon } from "./fleet.ts";
import { type ControlCost, measureCost } from "./measure_cost.ts";
import { type Delays, delaysOf } from "./spread.ts";

// Code that runs only nine times a second is optimised late: 25 idle daemons
// took 3.2% of a core in the first 20 s, 2.2% after 40 s and 2.0% from 80 s on.
const SETTLE_MS = 60_000;
const CHANGES_COUNT = 8;
const LOSSES_COUNT = 3;
// Reading all members of all daemons takes processor time from the daemons.
const POLL_INTERVAL_MS = 50;

/** A step removes daemons and must keep the contacts and some others. */
const DAEMONS_MIN_COUNT = 12;

/** Results of one step. */
export type ScaleStep = ControlCost & {
  readonly daemonsCount: number;
  /** From acceptance to application, over all daemons and changes, in ms. */
  readonly configMs: Delays;
  /** From the drain call until no daemon reports the member alive, in ms. */
  readonly drainMs: Delays;
  /** From SIGKILL until no daemon reports the member alive, in ms. */
  readonly killMs: Delays;
};

async function measureConfig(fleet: Fleet): Promise<Delays> {
  const delaysMs: number[] = [];
  for (let change = 2; change < 2 + CHANGES_COUNT; change++) {
    const sample = fleet.daemons[0] as FleetDaemon;
    const before = (await fleet.readStatus(sample)).config.generation;
    await fleet.applyTables(change);
    await fleet.waitFor(({ config }) => config.generation > before);
    for (const daemon of fleet.daemons) {
      delaysMs.push(delayOf(await fleet.readStatus(daemon), before));
    }
  }
  return delaysOf(delaysMs);
}

/** Delay of the first generation after a given one. */
function delayOf({ instanceId, config }: Status, before: number): number {
  const applied = config.applied.find(({ generation }) => generation > before);
  if (applied?.acceptedEpochMs === undefined) {
    throw new Error(
      `${instanceId} reports no accepted generation after ${before}`,
    );
  }
  return applied.appliedEpochMs - applied.acceptedEpochMs;
}

async function reportsAlive(watcher: FleetDaemon, lostId: string) {
  const answer = await request(`${watcher.operatorUrl}/status`);
  // Not validated, because the schema check would cost more than the answer.
  const { members } = await answer.body.json() as Status;
  return members.some(({ instanceId, state }) =>
    instanceId === lostId && state === "alive"
  );
}

/** Measures the time until no watcher reports a removed member as alive. */
async function measureLoss(
  watchers: readonly FleetDaemon[],
  lost: FleetDaemon,
  remove: () => void | Promise<void>,
): Promise<number> {
  const startMs = performance.now();
  await remove();
  let pending = [...watchers];
  while (pending.length > 0) {
    const isReported = await Promise.all(
      pending.map((daemon) => reportsAlive(daemon, lost.id)),
    );
    pending = pending.filter((_, index) => isReported[index]);
    if (pending.length > 0) {
      await sleep(POLL_INTERVAL_MS);
    }
  }
  return performance.now() - startMs;
}

async function postDrain({ operatorUrl }: FleetDaemon): Promise<void> {
  const answer = await request(`${operatorUrl}/drain`, { method: "POST" });
  await answer.body.dump();
}

/** Removes the last daemons, which are not contacts, one after another. */
async function measureLosses(
  fleet: Fleet,
  remove: (daemon: FleetDaemon) => void | Promise<void>,
): Promise<Delays> {
  const delaysMs: number[] = [];
  for (let index = 0; index < LOSSES_COUNT; index++) {
    const lost = fleet.daemons.pop() as FleetDaemon;
    delaysMs.push(
      await measureLoss(fleet.daemons, lost, () => remove(lost)),
    );
  }
  return delaysOf(delaysMs);
}

/**
 * Measures a fleet of one size.
 *
 * @param daemonsCount Daemons to start.
 * @returns Figures of the step.
 * @throws {RangeError} When the step has too few daemons to remove some.
 */
export async function measureStep(daemonsCount: number): Promise<ScaleStep> {
  if (!(daemonsCount >= DAEMONS_MIN_COUNT)) {
    throw new RangeError(`A step has at least ${DAEMONS_MIN_COUNT} daemons`);
  }
  const fleet = new Fleet(daemonsCount);
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    const cost = await measureCost(fleet);
    const configMs = await measureConfig(fleet);
    const drainMs = await measureLosses(fleet, postDrain);
    const killMs = await measureLosses(
      fleet,
      ({ program }) => program.signal("SIGKILL"),
    );
    return { daemonsCount, ...cost, configMs, drainMs, killMs };
  } finally {
    await fleet.stop();
  }
}
