/** Links to the other members, and this daemon's member record in the store. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import type { PlatformClient, StoredObject } from "../core/platform_client.ts";
import { PeerLink, type PeerLinkOptions } from "../link/peer_link.ts";
import {
  type MemberRecord,
  memberRecordSchema,
  type UpstreamDeparture,
} from "../schemas/fleet_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { ChannelTable } from "./channel_table.ts";

/** Kind of the store's objects that hold member records. */
export const MEMBER_KIND = "goldcrest-members";

/** Time between two attempts to write this daemon's record. */
const REGISTER_RETRY_MS = 1_000;
/** A member whose link is down for longer is removed, and so is its record. */
const MEMBER_EXPIRY_MS = 600_000;

/** Object store of the deployment platform. */
export interface MemberStore extends PlatformClient {
  /** Whether the last call to the store was answered. */
  readonly isReachable: boolean;
  /** Number of calls to the store since the start. */
  readonly callsCount: number;
  /** Removes an object of the given version. Throws {@link PlatformError}. */
  remove(kind: string, name: string, version: number): Promise<void>;
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
};

function isSameDeparture(
  a: UpstreamDeparture | undefined,
  b: UpstreamDeparture | undefined,
): boolean {
  return a?.upstreamId === b?.upstreamId &&
    a?.startedEpochMs === b?.startedEpochMs;
}

function isSameRecord(a: MemberRecord, b: MemberRecord): boolean {
  return a.pool === b.pool && a.dataCentre === b.dataCentre &&
    a.link.host === b.link.host && a.link.port === b.link.port &&
    isSameDeparture(a.leftUpstream, b.leftUpstream);
}

/**
 * Watches the member records in the store, keeps a link to each other member
 * and writes the record of this daemon.
 */
export class MemberDirectory implements ControlPart<StoredObject> {
  readonly name = "members";
  readonly inputs: Stream<StoredObject>;
  readonly #options: MemberDirectoryOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #versions = new Map<string, number>();
  #ownRecord: MemberRecord;
  #ownVersion: number | undefined;
  #isRegistering = false;
  #isRegistered = false;
  #registerAtMs = 0;

  /**
   * @param options Store, record of this daemon, channel table and options of
   *   the links.
   */
  constructor(options: MemberDirectoryOptions) {
    this.#options = options;
    this.#ownRecord = options.ownRecord;
    this.inputs = options.store.watch(MEMBER_KIND);
  }

  /** Links to the other members. */
  get links(): Iterable<PeerLink> {
    return this.#links.values();
  }

  /**
   * Returns the link to a member.
   *
   * @param name Name of the member.
   * @returns The link; undefined for an unknown member.
   */
  link(name: string): PeerLink | undefined {
    return this.#links.get(name);
  }

  /** Number of members, including this one. */
  get membersCount(): number {
    return this.#links.size + 1;
  }

  /** Record of this daemon, which is also sent to peers. */
  get ownRecord(): MemberRecord {
    return this.#ownRecord;
  }

  /** @inheritdoc */
  handle({ name, value, version }: StoredObject): void {
    if (value === undefined) {
      this.#onRemoved(name);
      return;
    }
    const result = memberRecordSchema.safeParse(value);
    if (!result.success) {
      this.#options.log.warn("Entry of a member is not readable", { name });
      return;
    }
    if (name === this.#ownRecord.name) {
      this.#onOwnRecord(result.data, version);
      return;
    }
    this.#versions.set(name, version);
    this.upsertMember(result.data);
  }

  /**
   * Adds or updates a member. A link that is down is dialled at the next tick,
   * without back-off.
   *
   * @param record Record from the store or from a hello frame; that of this
   *   daemon is ignored.
   */
  upsertMember(record: MemberRecord): void {
    if (record.name === this.#ownRecord.name) {
      return;
    }
    const link = this.#links.get(record.name);
    if (link === undefined) {
      this.#addLink(record);
      return;
    }
    if (!isSameRecord(link.member, record)) {
      this.#options.channels.remove(link);
      link.updateMember(record);
      this.#options.channels.add(link);
    }
    if (!link.isUp) {
      link.dialSoon();
    }
  }

  /**
   * Writes the departure of the local upstream to this daemon's record, so that
   * the daemon does not send it requests after a restart. Does nothing if the
   * record has the departure already.
   *
   * @param departure Upstream that leaves.
   * @returns Resolves when the record is written or the attempt has failed, or
   *   at once while another write is in progress. Until the record is stored,
   *   {@link tick} retries it.
   */
  async storeDeparture(departure: UpstreamDeparture): Promise<void> {
    if (isSameDeparture(departure, this.#ownRecord.leftUpstream)) {
      return;
    }
    this.#ownRecord = { ...this.#ownRecord, leftUpstream: departure };
    this.#isRegistered = false;
    await this.#register();
  }

  /**
   * Calls `tick` of each link, removes expired members, and writes the record
   * of this daemon if it is not stored.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms.
   */
  tick(nowMs: number, stalledMs: number): void {
    for (const link of this.#links.values()) {
      link.tick(nowMs, stalledMs);
      if (!link.isUp && nowMs - link.downSinceMs > MEMBER_EXPIRY_MS) {
        this.#expire(link);
      }
    }
    if (!this.#isRegistered && nowMs >= this.#registerAtMs) {
      void this.#register();
    }
  }

  /** Closes all links permanently. */
  close(): void {
    for (const link of this.#links.values()) {
      link.remove();
    }
  }

  #addLink(record: MemberRecord): void {
    const link = new PeerLink(record, this.#options.link);
    this.#links.set(record.name, link);
    this.#options.channels.add(link);
    this.#options.log.info("Member seen", {
      member: record.name,
      pool: record.pool,
      dataCentre: record.dataCentre,
    });
  }

  #onRemoved(name: string): void {
    if (name === this.#ownRecord.name) {
      this.#ownVersion = undefined;
      this.#isRegistered = false;
      return;
    }
    // A connected member is alive, even if its record was removed.
    const link = this.#links.get(name);
    if (link !== undefined && !link.isUp) {
      this.#removeLink(link);
    }
  }

  #removeLink(link: PeerLink): void {
    link.remove();
    this.#links.delete(link.member.name);
    this.#options.channels.remove(link);
    this.#options.log.info("Member gone", { member: link.member.name });
  }

  #expire(link: PeerLink): void {
    const { name } = link.member;
    const version = this.#versions.get(name);
    this.#removeLink(link);
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

  #onOwnRecord(record: MemberRecord, version: number): void {
    this.#ownVersion = version;
    this.#options.onOwnRecord(record);
    if (
      record.leftUpstream !== undefined &&
      this.#ownRecord.leftUpstream === undefined
    ) {
      this.#ownRecord = {
        ...this.#ownRecord,
        leftUpstream: record.leftUpstream,
      };
    }
    this.#isRegistered = isSameRecord(record, this.#ownRecord);
  }

  async #register(): Promise<void> {
    if (this.#isRegistering) {
      return;
    }
    this.#isRegistering = true;
    this.#registerAtMs = performance.now() + REGISTER_RETRY_MS;
    try {
      await this.#writeOwn();
    } catch (error) {
      this.#options.log.warn("Own entry was not written", errorFields(error));
    } finally {
      this.#isRegistering = false;
    }
  }

  async #writeOwn(): Promise<void> {
    const { store } = this.#options;
    const { name } = this.#ownRecord;
    if (this.#ownVersion === undefined) {
      const stored = await store.get(MEMBER_KIND, name);
      if (stored !== undefined) {
        this.handle(stored);
      }
    }
    if (this.#isRegistered) {
      return;
    }
    const result = await store.put(
      { kind: MEMBER_KIND, name, value: this.#ownRecord },
      { expectedVersion: this.#ownVersion ?? "absent" },
    );
    if (result.kind === "written") {
      this.#ownVersion = result.version;
      this.#isRegistered = true;
      return;
    }
    // The stored version has changed, perhaps by an earlier write of this
    // daemon whose answer was lost. The next tick reads the record again.
    this.#ownVersion = undefined;
    this.#registerAtMs = 0;
  }
}
