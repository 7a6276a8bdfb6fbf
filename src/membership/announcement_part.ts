/**
 * Stores a record of each member, its announcement, in the platform. Joining
 * daemons and other data centres find their first peers in these records.
 */
import type { Stream } from "most";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { type PlatformClient, PlatformError } from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { Address } from "../schemas/common_schema.ts";
import { memberShardSchema } from "../schemas/member_schema.ts";
import type { MembershipCore } from "./membership_core.ts";
import { peerAddressOf } from "./membership_events.ts";
import {
  buildShard,
  isSameShard,
  SHARD_KIND,
  shardName,
  shardOf,
  SHARDS_COUNT,
  type StoredMember,
} from "./shard_content.ts";

/** Shortest time between two writes of one shard, in ms. */
export const SHARD_WRITE_INTERVAL_MS = 1_000;
/**
 * Time after its start during which a lease holder keeps stored announcements
 * of instances that it does not know, in ms.
 */
const UNKNOWN_MEMBER_RETENTION_MS = 3_600_000;
/** Maximum number of addresses to take from one read of announcements. */
const CONTACTS_MAX_COUNT = 3;
/**
 * Time between the first two reads while this daemon joins, in ms. It doubles
 * with each read.
 */
const READ_INTERVAL_MS = 5_000;
/** Upper bound of the time between two reads while joining, in ms. */
const READ_INTERVAL_MAX_MS = 60_000;
/**
 * Interval in ms at which the lease holder searches the platform for other data
 * centres. Without these searches, data centres that start at the same time
 * would not find each other. Once another data centre is known, searches are
 * rare, because reading all announcements transfers 5 MB in a fleet of 26,000
 * members.
 */
const DISCOVERY_INTERVAL_MS = 30_000;
const DISCOVERY_KNOWN_INTERVAL_MS = 3_600_000;

/** Access of {@link AnnouncementPart} to the membership. */
export interface MembershipAccess {
  readonly core: MembershipCore;
  /** Adds addresses of peers. */
  addContacts(addresses: readonly Address[]): void;
  /** Raises this instance's incarnation above one that is already stored. */
  raiseIncarnationAbove(incarnationEpochMs: number): void;
}

/** Options of {@link AnnouncementPart}. */
export type AnnouncementPartOptions = {
  membership: MembershipAccess;
  platform: PlatformClient;
  clock: Clock;
  random: RandomSource;
  /** Whether this daemon holds `leases/<data centre>-reader-0` now. */
  holdsLease: () => boolean;
  /** Events that trigger reads and writes; by default one per second. */
  ticks?: Stream<unknown>;
};

/** Last known version and content of the object of one shard. */
type Shard = {
  /**
   * Undefined until the object is read, and after a write that conflicted or
   * whose result is unknown.
   */
  version: number | "absent" | undefined;
  members: readonly StoredMember[];
  /** Whether a write, with the read that precedes it, is in progress. */
  isWriting: boolean;
};

function parseMembers(value: unknown): StoredMember[] {
  const result = memberShardSchema.safeParse(value);
  return result.success ? result.data.members : [];
}

/**
 * While this daemon holds the lease, writes the announcements of its data
 * centre and searches for other data centres. A shard is written only when its
 * content has changed, and at most once per second.
 *
 * While this daemon joins, reads announcements to find peers: first the shard
 * of this instance, which also stores the instance's last incarnation, and then
 * all shards until a peer is reached.
 *
 * @example
 * loop.register(new AnnouncementPart({
 *   membership, platform, clock, random,
 *   holdsLease: () => readerLeases[0].isHeld(),
 * }));
 */
export class AnnouncementPart implements ControlPart<unknown> {
  readonly name = "announcements";
  readonly inputs: Stream<unknown>;
  readonly #options: AnnouncementPartOptions;
  readonly #shards: Shard[] = Array.from({ length: SHARDS_COUNT }, () => ({
    version: undefined,
    members: [],
    isWriting: false,
  }));
  readonly #startedMs: number;
  #isOwnShardRead = false;
  #nextReadMs = Number.NEGATIVE_INFINITY;
  #readIntervalMs = READ_INTERVAL_MS;
  #lastDiscoveryMs: number;
  /** Whether this daemon held the lease at the previous tick. */
  #heldLease = false;

  /**
   * @param options Membership, platform, lease, clock and random source.
   */
  constructor(options: AnnouncementPartOptions) {
    this.#options = options;
    this.#startedMs = options.clock.monotonicMs();
    this.#lastDiscoveryMs = this.#startedMs;
    this.inputs = options.ticks ?? timerStream(SHARD_WRITE_INTERVAL_MS);
  }

  /** @inheritdoc */
  async handle(): Promise<void> {
    await Promise.all([this.#readWhileJoining(), this.#writeAsHolder()]);
  }

  async #readWhileJoining(): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const { core } = this.#options.membership;
    const isDone = this.#isOwnShardRead && core.isJoined;
    if (isDone || nowMs < this.#nextReadMs) {
      return;
    }
    this.#nextReadMs = nowMs + this.#readIntervalMs;
    this.#readIntervalMs = Math.min(
      this.#readIntervalMs * 2,
      READ_INTERVAL_MAX_MS,
    );
    const wasReadBefore = this.#isOwnShardRead;
    const { instanceId, dataCentre } = core.identity;
    const own = await this.#read(shardName(dataCentre, shardOf(instanceId)));
    if (own !== undefined) {
      this.#isOwnShardRead = true;
      this.#applyAnnouncements(own, instanceId);
    }
    // All shards are read when this instance's own shard is empty, or when an
    // earlier read of it led to no peer, since the instances in it may have ended.
    if (own?.length === 0 || wasReadBefore) {
      this.#applyAnnouncements(await this.#readAll(), instanceId);
    }
  }

  /** Adds one contact in each data centre of which no live member is known. */
  async #discoverDataCentres(): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const { membership } = this.#options;
    const known = membership.core.readers.listDataCentres();
    const intervalMs = known.length > 1
      ? DISCOVERY_KNOWN_INTERVAL_MS
      : DISCOVERY_INTERVAL_MS;
    if (nowMs - this.#lastDiscoveryMs < intervalMs) {
      return;
    }
    this.#lastDiscoveryMs = nowMs;
    const members = await this.#readAll();
    const byDataCentre = new Map(
      members.map((one) => [one.dataCentre, peerAddressOf(one)]),
    );
    known.forEach((dataCentre) => byDataCentre.delete(dataCentre));
    membership.addContacts([...byDataCentre.values()]);
  }

  async #readAll(): Promise<StoredMember[]> {
    try {
      const objects = await this.#options.platform.list(SHARD_KIND);
      return objects.flatMap(({ value }) => parseMembers(value));
    } catch (error) {
      this.#ignorePlatformError(error);
      return [];
    }
  }

  #applyAnnouncements(
    members: readonly StoredMember[],
    instanceId: string,
  ): void {
    const { membership, random } = this.#options;
    const own = members.find((one) => one.instanceId === instanceId);
    const { incarnationEpochMs } = membership.core.identity;
    if (own !== undefined && own.incarnationEpochMs > incarnationEpochMs) {
      membership.raiseIncarnationAbove(own.incarnationEpochMs);
    }
    const peers = members.filter((one) => one.instanceId !== instanceId);
    const { dataCentre } = membership.core.identity;
    const localPeers = peers.filter((one) => one.dataCentre === dataCentre);
    const candidates = localPeers.length > 0 ? localPeers : peers;
    const chosen: Address[] = [];
    while (candidates.length > 0 && chosen.length < CONTACTS_MAX_COUNT) {
      const index = random.nextInt(candidates.length);
      chosen.push(
        peerAddressOf(candidates.splice(index, 1)[0] as StoredMember),
      );
    }
    membership.addContacts(chosen);
  }

  async #writeAsHolder(): Promise<void> {
    const { holdsLease, membership } = this.#options;
    const isHolder = holdsLease();
    if (isHolder && !this.#heldLease) {
      // Another holder may have written in the meantime, so all shards are read
      // again before the next write.
      this.#shards.forEach((shard) => shard.version = undefined);
    }
    this.#heldLease = isHolder;
    const isReady = membership.core.isJoined || this.#isOwnShardRead;
    if (!isHolder || !isReady) {
      return;
    }
    await Promise.all([
      ...this.#shards.map((_shard, index) => this.#write(index)),
      this.#discoverDataCentres(),
    ]);
  }

  async #write(index: number): Promise<void> {
    const shard = this.#shards[index] as Shard;
    if (shard.isWriting) {
      return;
    }
    shard.isWriting = true;
    try {
      if (shard.version === undefined) {
        await this.#refresh(shard, index);
      }
      await this.#putIfChanged(shard, index);
    } catch (error) {
      // The write may have been applied, so the object is read again.
      shard.version = undefined;
      this.#ignorePlatformError(error);
    } finally {
      shard.isWriting = false;
    }
  }

  async #refresh(shard: Shard, index: number): Promise<void> {
    const { membership, platform } = this.#options;
    const name = shardName(membership.core.identity.dataCentre, index);
    const object = await platform.get(SHARD_KIND, name);
    shard.version = object?.version ?? "absent";
    shard.members = parseMembers(object?.value);
  }

  async #putIfChanged(shard: Shard, index: number): Promise<void> {
    const { membership, platform, clock, holdsLease } = this.#options;
    const { registry, identity } = membership.core;
    const { dataCentre } = identity;
    const keepsUnknown = clock.monotonicMs() - this.#startedMs <
      UNKNOWN_MEMBER_RETENTION_MS;
    const { members: stored } = shard;
    const options = { dataCentre, shard: index, stored, keepsUnknown };
    const members = buildShard(registry, options);
    // The lease may have expired while the object was read.
    if (
      isSameShard(members, stored) || shard.version === undefined ||
      !holdsLease()
    ) {
      return;
    }
    const name = shardName(dataCentre, index);
    const object = { kind: SHARD_KIND, name, value: { members } };
    const result = await platform.put(object, {
      expectedVersion: shard.version,
    });
    const isWritten = result.kind === "written";
    shard.version = isWritten ? result.version : undefined;
    shard.members = isWritten ? members : stored;
  }

  async #read(name: string): Promise<StoredMember[] | undefined> {
    try {
      const object = await this.#options.platform.get(SHARD_KIND, name);
      return parseMembers(object?.value);
    } catch (error) {
      this.#ignorePlatformError(error);
      return undefined;
    }
  }

  /**
   * Ignores failures of the platform, which may be down for a long time.
   * Meanwhile, the contacts from the settings and the peers are used instead.
   */
  #ignorePlatformError(error: unknown): void {
    if (!(error instanceof PlatformError)) {
      throw error;
    }
  }
}
