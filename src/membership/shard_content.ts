/** Content of the platform objects that store a data centre's announcements. */
import { hash32 } from "../core/hash.ts";
import type { MemberShard } from "../schemas/member_schema.ts";
import { isLiveState, type MemberRegistry } from "./member_registry.ts";

/**
 * Shards per data centre. In a fleet of 26,000 members in 30 data centres, a
 * data centre has about 870 members of about 200 bytes each, far below the limit
 * of one megabyte per object; more shards would cause more writes.
 */
export const SHARDS_COUNT = 4;
/** Kind of the platform objects that store shards. */
export const SHARD_KIND = "members";
const SHARD_SEED = 104;

/** Stored announcement of one member. */
export type StoredMember = MemberShard["members"][number];

/**
 * Returns the shard of an instance.
 *
 * @param instanceId Instance id.
 * @returns Integer in `[0, SHARDS_COUNT)`.
 */
export function shardOf(instanceId: string): number {
  return hash32(instanceId, SHARD_SEED) % SHARDS_COUNT;
}

/**
 * Returns the name of a shard's object.
 *
 * @param dataCentre Data centre.
 * @param shard Number of the shard.
 * @returns Name of the platform object.
 */
export function shardName(dataCentre: string, shard: number): string {
  return `${dataCentre}-${shard}`;
}

function toStored(registry: MemberRegistry, row: number): StoredMember {
  const { sequence: _sequence, ...stored } = registry.table.read(row);
  return stored;
}

function compareIds(a: StoredMember, b: StoredMember): number {
  return a.instanceId < b.instanceId ? -1 : a.instanceId > b.instanceId ? 1 : 0;
}

/** Options of {@link buildShard}. */
export type BuildShardOptions = {
  dataCentre: string;
  shard: number;
  /** Current content of the object. */
  stored: readonly StoredMember[];
  /**
   * Whether to keep announcements of instances that this daemon does not know.
   * A daemon that has just joined may not know all members.
   */
  keepsUnknown: boolean;
};

/**
 * Computes the content of a shard. Members that are dead without confirmation
 * are kept, because the platform stores announcements, not liveness.
 *
 * @param registry Members known to this daemon.
 * @param options Shard and its current content.
 * @returns Announcements, ordered by instance id.
 */
export function buildShard(
  registry: MemberRegistry,
  options: BuildShardOptions,
): StoredMember[] {
  const { dataCentre, shard, stored, keepsUnknown } = options;
  const members = new Map<string, StoredMember>();
  for (const row of registry.table.rows()) {
    const state = registry.stateAt(row);
    const isAnnounced = isLiveState(state) || state === "dead";
    const instanceId = registry.table.idOf(row);
    if (
      isAnnounced && registry.table.dataCentreOf(row) === dataCentre &&
      shardOf(instanceId) === shard
    ) {
      members.set(instanceId, toStored(registry, row));
    }
  }
  for (const one of stored) {
    const known = registry.versionOf(one.instanceId);
    const isNewer = known !== undefined &&
      one.incarnationEpochMs > known.incarnationEpochMs;
    if (isNewer || (known === undefined && keepsUnknown)) {
      members.set(one.instanceId, one);
    }
  }
  return [...members.values()].sort(compareIds);
}

/**
 * Compares two contents of a shard.
 *
 * @param a First content, ordered by instance id.
 * @param b Second content, ordered by instance id.
 * @returns True when they are equal.
 */
export function isSameShard(
  a: readonly StoredMember[],
  b: readonly StoredMember[],
): boolean {
  return a.length === b.length && a.every((one, index) => {
    const other = b[index] as StoredMember;
    const entries = Object.entries(one);
    return entries.length === Object.keys(other).length &&
      entries.every(([field, value]) =>
        other[field as keyof StoredMember] === value
      );
  });
}
