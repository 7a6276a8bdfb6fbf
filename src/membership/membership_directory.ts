/** Directory of upstreams and neighbours, built from the membership. */
import type { NeighbourSource, Peer } from "../core/peer_transport.ts";
import {
  DEFAULT_OWNER_RULES,
  EligibleOwners,
  type OwnerRules,
} from "../decisions/keys/eligible_owners.ts";
import type {
  Endpoint,
  PeerConnectivity,
  UpstreamDirectory,
} from "../decisions/selection/upstream_directory.ts";
import type { MemberState } from "../schemas/member_schema.ts";
import { isLiveState, type MemberChange } from "./member_registry.ts";
import type { MembershipCore } from "./membership_core.ts";
import { peerAddressOf } from "./membership_events.ts";

const ENDPOINT_STATES: Partial<Record<MemberState, Endpoint["state"]>> = {
  alive: "alive",
  suspect: "suspect",
  leaving: "draining",
  leavingSuspect: "draining",
};

/** Members and histories of a pool that was requested. */
type PoolEntry = {
  readonly memberIds: Set<string>;
  /** Monotonic time of the last change by data centre, in ms. */
  readonly changedMs: Map<string, number>;
  /** History of the eligible owners by data centre. */
  readonly owners: Map<string, EligibleOwners>;
  /** Members that accept no new work. */
  readonly leavingIds: Set<string>;
  endpoints: readonly Endpoint[] | undefined;
};

function compareIds(a: Endpoint, b: Endpoint): number {
  return a.instanceId < b.instanceId ? -1 : a.instanceId > b.instanceId ? 1 : 0;
}

/**
 * Directory of the members by pool. Endpoints and histories are built only for
 * pools that were requested; members of other pools take no memory here.
 */
export class MembershipDirectory implements UpstreamDirectory, NeighbourSource {
  readonly #core: MembershipCore;
  readonly #ownerRules: (pool: string) => OwnerRules;
  readonly #pools = new Map<string, PoolEntry>();

  /**
   * @param core Membership of this daemon.
   * @param ownerRules Returns the rules for the owners of a pool's keys.
   */
  constructor(
    core: MembershipCore,
    ownerRules: (pool: string) => OwnerRules = () => DEFAULT_OWNER_RULES,
  ) {
    this.#core = core;
    this.#ownerRules = ownerRules;
  }

  /** Number of pools that were requested. */
  get poolsCount(): number {
    return this.#pools.size;
  }

  /** @inheritdoc */
  endpoints(pool: string): readonly Endpoint[] {
    const entry = this.#entryOf(pool);
    entry.endpoints ??= this.#buildEndpoints(entry);
    return entry.endpoints;
  }

  /** @inheritdoc */
  changedMs(pool: string, dataCentre: string): number {
    return this.#entryOf(pool).changedMs.get(dataCentre) ??
      Number.NEGATIVE_INFINITY;
  }

  /** @inheritdoc */
  peerConnectivity(): PeerConnectivity {
    return this.#core.peerConnectivity;
  }

  /** @inheritdoc */
  neighbours(): readonly Peer[] {
    return this.#listPeers(this.#core.neighbourIds);
  }

  /** @inheritdoc */
  remoteReaders(): readonly Peer[] {
    return this.#listPeers(this.#core.remoteReaderIds);
  }

  /**
   * Returns the history of the members that may own keys of a pool.
   *
   * @param pool Pool.
   * @param dataCentre Home data centre of the keys.
   * @returns History. It starts at the first request of the pool; of the time
   * before, it contains only the last join and loss of each member.
   */
  eligibleOwners(pool: string, dataCentre: string): EligibleOwners {
    const { owners } = this.#entryOf(pool);
    let history = owners.get(dataCentre);
    if (history === undefined) {
      history = new EligibleOwners(() => this.#ownerRules(pool));
      owners.set(dataCentre, history);
    }
    return history;
  }

  /**
   * Applies changes of the members to the pools that were requested.
   *
   * @param changes Changes, oldest first.
   */
  applyChanges(changes: readonly MemberChange[]): void {
    for (const change of changes) {
      const entry = this.#pools.get(change.pool);
      if (entry !== undefined) {
        this.#applyChange(entry, change);
      }
    }
  }

  #applyChange(entry: PoolEntry, change: MemberChange): void {
    const { kind, instanceId, dataCentre, atMs } = change;
    entry.endpoints = undefined;
    if (kind === "updated") {
      this.#updateLeaving(entry, change);
      return;
    }
    const beforeMs = entry.changedMs.get(dataCentre) ?? atMs;
    entry.changedMs.set(dataCentre, Math.max(beforeMs, atMs));
    this.eligibleOwners(change.pool, dataCentre)
      .record({ kind, instanceId, atMs });
    if (kind !== "joined") {
      entry.memberIds.delete(instanceId);
      entry.leavingIds.delete(instanceId);
      return;
    }
    entry.memberIds.add(instanceId);
    this.#updateLeaving(entry, change);
  }

  /**
   * Records when a member starts or stops leaving. A leaving member has
   * announced that it runs no new request, so its keys move at once. Otherwise,
   * requests with these keys would be refused until the member's last transfer
   * of a request or answer has ended.
   */
  #updateLeaving(entry: PoolEntry, change: Omit<MemberChange, "kind">): void {
    const { instanceId, dataCentre, atMs } = change;
    const { registry } = this.#core;
    const row = registry.table.rowOf(instanceId);
    const isLeaving = row !== undefined &&
      ENDPOINT_STATES[registry.stateAt(row)] === "draining";
    if (isLeaving === entry.leavingIds.has(instanceId)) {
      return;
    }
    const owners = this.eligibleOwners(change.pool, dataCentre);
    if (isLeaving) {
      entry.leavingIds.add(instanceId);
      owners.record({ kind: "gone", instanceId, atMs });
      return;
    }
    entry.leavingIds.delete(instanceId);
    owners.record({ kind: "joined", instanceId, atMs });
  }

  #entryOf(pool: string): PoolEntry {
    const known = this.#pools.get(pool);
    if (known !== undefined) {
      return known;
    }
    const entry: PoolEntry = {
      memberIds: new Set(),
      changedMs: new Map(),
      owners: new Map(),
      leavingIds: new Set(),
      endpoints: undefined,
    };
    this.#pools.set(pool, entry);
    this.#addKnownMembers(pool, entry);
    return entry;
  }

  /** Adds the members of a pool that the registry has at the first request. */
  #addKnownMembers(pool: string, entry: PoolEntry): void {
    const { registry } = this.#core;
    const { table } = registry;
    for (const row of table.rows()) {
      if (table.poolOf(row) === pool) {
        this.#addMember(entry, row);
      }
    }
  }

  /** Adds a member, even a lost one: it may still be eligible as an owner. */
  #addMember(entry: PoolEntry, row: number): void {
    const { registry } = this.#core;
    const { table } = registry;
    const instanceId = table.idOf(row);
    const change = {
      instanceId,
      incarnationEpochMs: table.incarnationOf(row),
      dataCentre: table.dataCentreOf(row),
      pool: table.poolOf(row),
    };
    const joinedMs = table.joinedMsOf(row);
    this.#applyChange(entry, { ...change, kind: "joined", atMs: joinedMs });
    const lostMs = registry.lostMsOf(instanceId);
    if (lostMs !== undefined) {
      const kind = registry.stateAt(row) === "dead" ? "dead" : "gone";
      this.#applyChange(entry, { ...change, kind, atMs: lostMs });
    }
  }

  #buildEndpoints(entry: PoolEntry): Endpoint[] {
    return [...entry.memberIds]
      .map((instanceId) => this.#buildEndpoint(instanceId))
      .filter((endpoint) => endpoint !== undefined)
      .sort(compareIds);
  }

  #buildEndpoint(instanceId: string): Endpoint | undefined {
    const { registry } = this.#core;
    const row = registry.table.rowOf(instanceId);
    const state = row === undefined
      ? undefined
      : ENDPOINT_STATES[registry.stateAt(row)];
    if (row === undefined || state === undefined) {
      return undefined;
    }
    const record = registry.table.read(row);
    return {
      instanceId,
      incarnationEpochMs: record.incarnationEpochMs,
      dataCentre: record.dataCentre,
      pool: record.pool,
      hopHost: record.hopHost,
      hopPort: record.hopPort,
      slotsCount: record.slotsCount,
      connectionsMaxCount: record.connectionsMaxCount,
      state,
      joinedMs: registry.table.joinedMsOf(row),
    };
  }

  #listPeers(instanceIds: readonly string[]): Peer[] {
    const { registry } = this.#core;
    return instanceIds.flatMap((instanceId) => {
      const member = registry.updateOf(instanceId);
      if (member === undefined || !isLiveState(member.state)) {
        return [];
      }
      const { incarnationEpochMs, dataCentre } = member;
      const identity = { instanceId, incarnationEpochMs, dataCentre };
      return [{ identity, address: peerAddressOf(member) }];
    });
  }
}
