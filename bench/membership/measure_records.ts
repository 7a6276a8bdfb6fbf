/** Memory of the records of many members in one daemon. */
import process from "node:process";
import { MemberRegistry } from "../../src/membership/member_registry.ts";
import type { MemberUpdate } from "../../src/schemas/member_schema.ts";

const POOLS_COUNT = 1_700;
const DATA_CENTRES_COUNT = 30;
const START_EPOCH_MS = 1_700_000_000_000;

/** Memory of all records. */
export type RecordFigures = {
  readonly membersCount: number;
  readonly bytesPerMember: number;
  readonly totalBytes: number;
  /** Processor time to apply one record, in microseconds. */
  readonly applyCpuUs: number;
};

function describeMember(index: number): MemberUpdate {
  const host = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`;
  return {
    instanceId: `instance-${String(index).padStart(6, "0")}`,
    dataCentre: `data-centre-${index % DATA_CENTRES_COUNT}`,
    incarnationEpochMs: START_EPOCH_MS + index,
    sequence: 1,
    state: "alive",
    peerHost: host,
    peerPort: 7_000,
    hopHost: host,
    hopPort: 7_001,
    pool: `pool-${index % POOLS_COUNT}`,
    slotsCount: 100,
    connectionsMaxCount: 700,
  };
}

function usedBytes(): number {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Fills a registry with members of many data centres and pools.
 *
 * @param membersCount Members.
 * @returns Heap and external memory per member. Needs `--expose-gc`.
 */
export function measureRecords(membersCount: number): RecordFigures {
  const before = usedBytes();
  const cpuBefore = process.cpuUsage();
  const registry = new MemberRegistry("data-centre-0");
  for (let index = 0; index < membersCount; index++) {
    registry.apply(describeMember(index), { nowMs: index });
    registry.takeChanges();
  }
  const { user, system } = process.cpuUsage(cpuBefore);
  const totalBytes = usedBytes() - before;
  return {
    membersCount: registry.table.size,
    bytesPerMember: totalBytes / membersCount,
    totalBytes,
    applyCpuUs: (user + system) / membersCount,
  };
}
