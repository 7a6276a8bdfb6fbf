/** Links to all members, and this daemon's entry in the store. */
import type { Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import type { PlatformClient, StoredObject } from "../core/platform_client.ts";
import { PeerLink, type PeerLinkOptions } from "../link/peer_link.ts";
import {
  type LeftUpstream,
  type MemberRecord,
  memberRecordSchema,
} from "../schemas/fleet_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { PathTable } from "./path_table.ts";

/** Kind of the members' entries in the store. */
export const MEMBER_KIND = "goldcrest-members";

/** Time until another attempt to write this daemon's entry, in ms. */
const REGISTER_RETRY_MS = 1_000;
/** Time without a link after which a member's entry is removed. */
const MEMBER_EXPIRY_MS = 600_000;

/** Store that can also remove entries. */
export interface MemberStore extends PlatformClient {
  /** Whether the last call was answered. */
  readonly isReachable: boolean;
  /** Number of calls since the start. */
  readonly callsCount: number;
  /** Removes an object of the given version. Throws {@link PlatformError}. */
  remove(kind: string, name: string, version: number): Promise<void>;
}

/** Options of {@link MemberDirectory}. */
export type MemberDirectoryOptions = {
  store: MemberStore;
  ownRecord: MemberRecord;
  paths: PathTable;
  link: PeerLinkOptions;
  log: Logger;
  /** Called with this daemon's stored entry, also one of an earlier process. */
  onOwnRecord: (record: MemberRecord) => void;
};

function isSameUpstream(
  a: LeftUpstream | undefined,
  b: LeftUpstream | undefined,
): boolean {
  return a?.upstreamId === b?.upstreamId &&
    a?.startedEpochMs === b?.startedEpochMs;
}

function isSameEntry(a: MemberRecord, b: MemberRecord): boolean {
  return a.pool === b.pool && a.dataCentre === b.dataCentre &&
    a.link.host === b.link.host && a.link.port === b.link.port &&
    isSameUpstream(a.leftUpstream, b.leftUpstream);
}

/**
 * Watches the members' entries, keeps a link to each member and registers this
 * daemon.
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
   * @param options Store, entry of this daemon, paths and options of the links.
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

  /** Entry of this daemon, which is also sent to peers. */
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
      this.#onOwnEntry(result.data, version);
      return;
    }
    this.#versions.set(name, version);
    this.upsertMember(result.data);
  }

  /**
   * Adds or updates a member. A link that is down is dialled without back-off.
   *
   * @param record Entry from the store or from a hello frame; that of this
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
    if (!isSameEntry(link.member, record)) {
      this.#options.paths.remove(link);
      link.update(record);
      this.#options.paths.add(link);
    }
    if (!link.isUp) {
      link.dialSoon();
    }
  }

  /**
   * Stores the upstream that leaves in this daemon's entry, so that the daemon
   * sends it no requests after a restart. Does nothing if the entry has it.
   *
   * @param left Upstream that leaves.
   * @returns Resolves when the entry is written or the attempt has failed;
   *   {@link tick} then repeats it.
   */
  async storeLeftUpstream(left: LeftUpstream): Promise<void> {
    if (isSameUpstream(left, this.#ownRecord.leftUpstream)) {
      return;
    }
    this.#ownRecord = { ...this.#ownRecord, leftUpstream: left };
    this.#isRegistered = false;
    await this.#register();
  }

  /**
   * Drives the links, removes expired members and registers this daemon.
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
    this.#options.paths.add(link);
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
    // A connected member is alive, even if its entry was removed.
    const link = this.#links.get(name);
    if (link !== undefined && !link.isUp) {
      this.#removeLink(link);
    }
  }

  #removeLink(link: PeerLink): void {
    link.remove();
    this.#links.delete(link.member.name);
    this.#options.paths.remove(link);
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

  #onOwnEntry(record: MemberRecord, version: number): void {
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
    this.#isRegistered = isSameEntry(record, this.#ownRecord);
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
    // A concurrent write was first, perhaps one of this daemon whose answer was
    // lost. The next tick reads the entry again.
    this.#ownVersion = undefined;
    this.#registerAtMs = 0;
  }
}
