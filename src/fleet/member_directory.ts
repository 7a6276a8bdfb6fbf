/** Known members, and the links to a bounded part of them. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import type { PlatformClient, StoredObject } from "../core/platform_client.ts";
import {
  isElected,
  rankCandidates,
  watchersCount,
} from "../decisions/watcher_election.ts";
import type { PeerLinkOptions } from "../link/link_host.ts";
import type { PeerLink } from "../link/peer_link.ts";
import type {
  MemberRecord,
  UpstreamDeparture,
} from "../schemas/fleet_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { ChannelTable } from "./channel_table.ts";
import {
  decodeMemberRecord,
  isSameRecord,
  MEMBER_KIND,
} from "./member_records.ts";
import { OwnRegistration } from "./own_registration.ts";
import { PeerLinks } from "./peer_links.ts";

/**
 * Time between two queries for the members of a peer, while the store has not
 * answered.
 */
const MEMBER_QUERY_INTERVAL_MS = 1_000;

/** Object store of the deployment platform. */
export interface MemberStore extends PlatformClient {
  /** Whether the last call to the store was answered. */
  readonly isReachable: boolean;
  /** Number of calls to the store since the start. */
  readonly callsCount: number;
  /**
   * Rises each time that the store is restored from a copy and has lost what was
   * written since the copy.
   */
  readonly era: number;
  /** Removes an object of the given version. Throws {@link PlatformError}. */
  remove(kind: string, name: string, version: number): Promise<void>;
  /**
   * Chooses how the configuration is watched: closely, so that a change is
   * noticed at once, or at a lower cost with data that may be seconds old.
   */
  setCloseWatch(isClose: boolean): void;
}

/** Options of {@link MemberDirectory}. */
export type MemberDirectoryOptions = {
  store: MemberStore;
  ownRecord: MemberRecord;
  channels: ChannelTable;
  link: PeerLinkOptions;
  log: Logger;
  /**
   * Called with the stored record of this daemon, which an earlier process may
   * have written.
   */
  onOwnRecord: (record: MemberRecord) => void;
  /** Called with the record of this daemon when it has changed. */
  onOwnChange: (record: MemberRecord) => void;
  /**
   * Selects, among the records of all members, names of those that are linked in
   * addition to the usual ones.
   */
  selectFurther?: (records: readonly MemberRecord[]) => readonly string[];
};

/**
 * Watches the member records in the store, keeps links to a part of the members
 * and registers this daemon. Members are also learned from the hello frames of
 * peers and, while the store does not answer, from the lists of peers.
 */
export class MemberDirectory implements ControlPart<StoredObject> {
  readonly name = "members";
  readonly inputs: Stream<StoredObject>;
  readonly #options: MemberDirectoryOptions;
  readonly #registration: OwnRegistration;
  readonly #records = new Map<string, MemberRecord>();
  readonly #versions = new Map<string, number>();
  readonly #links: PeerLinks;
  #candidateNames: readonly string[] = [];
  #dataCentresCount = 1;
  #hasChanged = false;
  #isListComplete = false;
  #membersQueriedAtMs = -Infinity;
  /** Era of the store at the last tick; 0 before its first answer. */
  #storeEra = 0;

  /**
   * @param options Store, record of this daemon, channel table and options of
   *   the links.
   */
  constructor(options: MemberDirectoryOptions) {
    this.#options = options;
    this.#registration = new OwnRegistration({
      store: options.store,
      record: options.ownRecord,
      log: options.log,
      onStored: options.onOwnRecord,
    });
    this.#links = new PeerLinks(options);
    this.inputs = options.store.watch(MEMBER_KIND);
  }

  /** Links to other members. */
  get links(): Iterable<PeerLink> {
    return this.#links.all;
  }

  /**
   * Returns the link to a member.
   *
   * @param name Name of the member.
   * @returns The link; undefined for a member without one.
   */
  link(name: string): PeerLink | undefined {
    return this.#links.get(name);
  }

  /** Number of known members, including this one. */
  get membersCount(): number {
    return this.#records.size + 1;
  }

  /**
   * Whether the watch of the store has delivered the record of this daemon. All
   * members that were stored before it are then known, too, also when the watch
   * delivers data that is seconds old.
   */
  get isListComplete(): boolean {
    return this.#isListComplete;
  }

  /** Whether the store had no record of this daemon before its start. */
  get isNewMember(): boolean {
    return this.#registration.isNew;
  }

  /** Record of this daemon, which is also sent to peers. */
  get ownRecord(): MemberRecord {
    return this.#registration.record;
  }

  /** Resolves when this daemon knows its stored record, or after 800 ms. */
  get ownRecordKnown(): Promise<void> {
    return this.#registration.known;
  }

  /** Records of all known members, including this one. */
  get records(): MemberRecord[] {
    return [this.ownRecord, ...this.#records.values()];
  }

  /** Whether this daemon should watch the store closely. */
  get isElectedWatcher(): boolean {
    const ownRank = this.#candidateNames.indexOf(this.ownRecord.name);
    const preferred = ownRank < 0
      ? this.#candidateNames
      : this.#candidateNames.slice(0, ownRank);
    return isElected({
      isCandidate: ownRank >= 0,
      preferred: preferred.map((name) => this.#links.watcherCandidate(name)),
      wantedCount: watchersCount(this.#dataCentresCount),
    });
  }

  /** @inheritdoc */
  handle({ name, value, version }: StoredObject): void {
    if (value === undefined) {
      this.#onRemoved(name);
      return;
    }
    const isOwn = name === this.ownRecord.name;
    if (isOwn && !this.#isListComplete) {
      this.#isListComplete = true;
      this.#hasChanged = true;
    }
    const record = decodeMemberRecord(name, value);
    if (record === undefined) {
      this.#options.log.warn("Entry of a member is not readable", { name });
      if (isOwn) {
        this.#registration.checkStored();
      }
      return;
    }
    if (isOwn) {
      this.#registration.handleStored(record, version);
      return;
    }
    this.#versions.set(name, version);
    this.upsertMember(record);
  }

  /**
   * Adds or updates a member. A link that is down is dialled at the next tick,
   * without back-off.
   *
   * @param record Record from the store or from a hello frame; that of this
   *   daemon is ignored.
   * @returns The known record of the member.
   */
  upsertMember(record: MemberRecord): MemberRecord {
    const { name } = record;
    if (name === this.ownRecord.name) {
      return this.ownRecord;
    }
    const known = this.#records.get(name);
    // A member that has restarted without the store, or after the store has lost
    // it, does not know the departure that its former process acknowledged.
    const leftUpstream = record.leftUpstream ?? known?.leftUpstream;
    const merged = leftUpstream === undefined
      ? record
      : { ...record, leftUpstream };
    this.#records.set(name, merged);
    if (known === undefined) {
      this.#options.log.info("Member seen", {
        member: name,
        pool: record.pool,
        dataCentre: record.dataCentre,
      });
    }
    if (known === undefined || !isSameRecord(known, merged)) {
      this.#hasChanged = true;
      this.#links.update(merged);
    }
    const link = this.#links.get(name);
    if (link !== undefined && !link.isUp) {
      link.dialSoon();
    }
    return merged;
  }

  /**
   * Handles the members that a peer knows. Records of known members other than
   * the peer itself are not replaced, because the peer's may be older.
   *
   * @param records Records of members.
   * @param peerName Name of the peer.
   */
  handlePeerRecords(records: readonly MemberRecord[], peerName: string): void {
    for (const record of records) {
      if (record.name === this.ownRecord.name) {
        this.#registration.handlePeerCopy(record);
      } else if (record.name === peerName || !this.#records.has(record.name)) {
        this.upsertMember(record);
      }
    }
  }

  /**
   * Stores the departure of the local upstream with this daemon's record; see
   * {@link OwnRegistration.storeDeparture}.
   *
   * @param departure Upstream that leaves.
   * @returns Resolves when it is written or the attempt has failed.
   */
  storeDeparture(departure: UpstreamDeparture): Promise<void> {
    const lastRecord = this.ownRecord;
    const isStored = this.#registration.storeDeparture(departure);
    // Peers return the record to this daemon if it restarts without the store.
    if (this.ownRecord !== lastRecord) {
      this.#options.onOwnChange(this.ownRecord);
    }
    return isStored;
  }

  /**
   * Selects the members to link to, calls `tick` of each link, removes expired
   * members, and writes the record of this daemon if it is not stored.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms.
   */
  tick(nowMs: number, stalledMs: number): void {
    if (this.#hasChanged) {
      this.#hasChanged = !this.#selectLinks();
    }
    const { hasChanged, expired } = this.#links.tick(nowMs, stalledMs);
    this.#hasChanged ||= hasChanged;
    for (const name of expired) {
      this.#expire(name);
    }
    this.#noticeRestore();
    this.#registration.tick(nowMs);
    this.#queryMembersOnceDue(nowMs);
  }

  #noticeRestore(): void {
    const { era } = this.#options.store;
    if (this.#storeEra > 0 && era > this.#storeEra) {
      this.#registration.checkStored();
    }
    this.#storeEra = era;
  }

  /** Makes the next tick select the links again. */
  reselectLinks(): void {
    this.#hasChanged = true;
  }

  /** Closes all links permanently. */
  close(): void {
    this.#links.close();
  }

  /**
   * Updates the candidates for watching the store and selects the links. Returns
   * false while a link that is to be closed has open requests.
   */
  #selectLinks(): boolean {
    const { dataCentre } = this.ownRecord;
    const { records } = this;
    this.#dataCentresCount = new Set(
      records.map((record) => record.dataCentre),
    ).size;
    this.#candidateNames = rankCandidates(
      records.filter((record) => record.dataCentre === dataCentre)
        .map(({ name }) => name),
    );
    return this.#links.select({
      records: this.#records,
      required: [
        ...this.#candidateNames,
        ...this.#options.selectFurther?.(records) ?? [],
      ],
    });
  }

  #onRemoved(name: string): void {
    if (name === this.ownRecord.name) {
      this.#registration.handleRemoved();
      return;
    }
    // A connected member is alive, even if its record was removed.
    const link = this.#links.get(name);
    if (link?.isUp === true) {
      return;
    }
    this.#removeMember(name);
  }

  #removeMember(name: string): void {
    this.#links.remove(name);
    if (this.#records.delete(name)) {
      this.#hasChanged = true;
      this.#options.log.info("Member gone", { member: name });
    }
  }

  #expire(name: string): void {
    const version = this.#versions.get(name);
    this.#removeMember(name);
    if (version === undefined) {
      return;
    }
    this.#options.store.remove(MEMBER_KIND, name, version).catch((error) => {
      this.#options.log.warn("Entry of a gone member was not removed", {
        member: name,
        ...errorFields(error),
      });
    });
  }

  /**
   * Asks a connected peer for its members while this daemon could not register.
   * After a restart without the store, it knows only the peers that dial it.
   */
  #queryMembersOnceDue(nowMs: number): void {
    if (
      this.#registration.isRegistered ||
      nowMs - this.#membersQueriedAtMs < MEMBER_QUERY_INTERVAL_MS
    ) {
      return;
    }
    const connected = [...this.links].filter(({ isUp }) => isUp);
    if (connected.length === 0) {
      return;
    }
    this.#membersQueriedAtMs = nowMs;
    const index = this.#options.link.random.nextInt(connected.length);
    connected[index]?.queryMembers();
  }
}
