/** Memory and processor time of a membership view with synthetic members. */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { MembershipCore } from "../../src/membership/membership_core.ts";
import type { MemberUpdate } from "../../src/schemas/member_schema.ts";
import { measureCpuMs } from "../config/measure.ts";

const DATA_CENTRES_COUNT = 30;
const POOLS_COUNT = 1_700;
const UPDATES_PER_PUSH = 500;
const GC_WAIT_MS = 100;
const UPDATES_COUNT = 2_000;
const START_EPOCH_MS = 1_700_000_000_000;

/** Figures of one view. */
export type RecordCost = {
  readonly membersCount: number;
  /** Heap, external memory and array buffers of all records, in bytes. */
  readonly recordsBytes: number;
  /** Processor time of one update in a message of its own, in ms. */
  readonly updateMs: number;
  /** Size of the JSON of one member in a stored shard. */
  readonly storedMemberBytes: number;
  /** Size of the JSON of one member in `/status`. */
  readonly statusMemberBytes: number;
};

function makeUpdate(index: number, sequence: number): MemberUpdate {
  const host = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`;
  return {
    instanceId: `instance-${index}`,
    dataCentre: `dc-${index % DATA_CENTRES_COUNT}`,
    incarnationEpochMs: START_EPOCH_MS + index,
    sequence,
    state: "alive",
    peerHost: host,
    peerPort: 9_083,
    hopHost: host,
    hopPort: 9_081,
    operatorHost: host,
    operatorPort: 9_084,
    pool: `pool-${index % POOLS_COUNT}`,
    slotsCount: 16,
    connectionsMaxCount: 200,
  };
}

/**
 * Reads the memory in use. Buffers of an earlier view are freed only after an
 * iteration of the event loop.
 */
async function usedBytes(): Promise<number> {
  const { gc } = globalThis as { gc?: () => void };
  gc?.();
  await sleep(GC_WAIT_MS);
  gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function push(core: MembershipCore, updates: MemberUpdate[]): void {
  const request = { updates, isRepair: false };
  core.handle({ kind: "pushed", request, fromId: "instance-30" }, 0);
  core.takeChanges();
}

function makeCore(): MembershipCore {
  const { sequence: _sequence, state: _state, ...own } = makeUpdate(0, 0);
  const { instanceId, dataCentre, incarnationEpochMs, ...place } = own;
  return new MembershipCore({
    instanceId,
    dataCentre,
    incarnationEpochMs,
    contacts: [],
    place,
  }, 0);
}

function measureJson(index: number) {
  const { sequence: _sequence, state, suspectedBy: _by, ...stored } =
    makeUpdate(
      index,
      0,
    );
  const { instanceId, incarnationEpochMs, dataCentre, pool } = stored;
  const operator = { host: stored.operatorHost, port: stored.operatorPort };
  const status = { instanceId, incarnationEpochMs, dataCentre, state, pool };
  return {
    storedMemberBytes: JSON.stringify(stored).length,
    statusMemberBytes: JSON.stringify({ ...status, operator }).length,
  };
}

/**
 * Measures a view of synthetic members.
 *
 * @param membersCount Members in 30 data centres and 1,700 pools.
 * @returns Memory of the view and processor time of an update.
 */
export async function measureRecords(
  membersCount: number,
): Promise<RecordCost> {
  const core = makeCore();
  const beforeBytes = await usedBytes();
  for (let first = 1; first < membersCount; first += UPDATES_PER_PUSH) {
    const count = Math.min(UPDATES_PER_PUSH, membersCount - first);
    push(
      core,
      Array.from({ length: count }, (_, index) => makeUpdate(first + index, 0)),
    );
  }
  const recordsBytes = (await usedBytes()) - beforeBytes;
  const updateMs = measureCpuMs(UPDATES_COUNT, (index) => {
    const subject = 1 + index % (membersCount - 1);
    const round = 1 + Math.floor(index / (membersCount - 1));
    push(core, [makeUpdate(subject, round)]);
  });
  return {
    membersCount: core.registry.table.size,
    recordsBytes,
    updateMs,
    ...measureJson(membersCount - 1),
  };
}
