/** Links to a bounded part of the known members. */
import { selectLinks } from "../decisions/placement/link_subset.ts";
import type { WatcherCandidate } from "../decisions/watcher_election.ts";
import type { PeerLinkOptions } from "../link/link_host.ts";
import { PeerLink } from "../link/peer_link.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { ChannelTable } from "./channel_table.ts";

/** A member whose link is down for longer counts as expired. */
const MEMBER_EXPIRY_MS = 600_000;
/**
 * A member whose link is down for longer is replaced by a further one. It is
 * longer than the restart of a process.
 */
const LINK_DOWN_MAX_MS = 2_000;

/** Options of {@link PeerLinks}. */
export type PeerLinksOptions = {
  ownRecord: Pick<MemberRecord, "name" | "dataCentre">;
  channels: ChannelTable;
  link: PeerLinkOptions;
};

/** Members among which {@link PeerLinks.select} selects. */
export type SelectableMembers = {
  /** Records of all known members, without this daemon, by name. */
  records: ReadonlyMap<string, MemberRecord>;
  /** Names of members that are linked in any case. */
  required: Iterable<string>;
};

/**
 * Keeps links to the selected members, and makes their upstreams available as
 * channels.
 */
export class PeerLinks {
  readonly #options: PeerLinksOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #downNames = new Set<string>();

  /**
   * @param options Record of this daemon, channel table and options of the links.
   */
  constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  /** All links. */
  get all(): Iterable<PeerLink> {
    return this.#links.values();
  }

  /**
   * Returns the link to a member.
   *
   * @param name Name of the member.
   * @returns The link; undefined for a member without one.
   */
  get(name: string): PeerLink | undefined {
    return this.#links.get(name);
  }

  /**
   * Describes a member as a candidate for watching the store.
   *
   * @param name Name of the member.
   * @returns Its connection and the state that it has reported.
   */
  watcherCandidate(name: string): WatcherCandidate {
    const link = this.#links.get(name);
    return {
      isUp: link?.isUp ?? false,
      isWatching: link?.state?.isWatching ?? false,
    };
  }

  /**
   * Opens the links to newly selected members and closes those to members that
   * are no longer selected.
   *
   * @param members Known members, and those that are linked in any case.
   * @returns False while a link that is to be closed has open requests.
   */
  select({ records, required }: SelectableMembers): boolean {
    const { name: ownName, dataCentre } = this.#options.ownRecord;
    const candidates = [...records.values()].map((record) => ({
      ...record,
      isDown: this.#downNames.has(record.name),
    }));
    const selected = selectLinks(candidates, {
      ownName,
      ownDataCentre: dataCentre,
    });
    for (const name of required) {
      selected.add(name);
    }
    selected.delete(ownName);
    for (const name of selected) {
      if (!this.#links.has(name)) {
        this.#add(records.get(name) as MemberRecord);
      }
    }
    return this.#closeAllBut(selected);
  }

  /**
   * Updates the link to a member, if there is one.
   *
   * @param record New record of the member.
   */
  update(record: MemberRecord): void {
    const link = this.#links.get(record.name);
    if (link === undefined) {
      return;
    }
    this.#options.channels.remove(link);
    link.updateMember(record);
    this.#options.channels.add(link);
  }

  /**
   * Closes the link to a member, if there is one.
   *
   * @param name Name of the member.
   */
  remove(name: string): void {
    const link = this.#links.get(name);
    if (link === undefined) {
      return;
    }
    link.remove();
    this.#links.delete(name);
    this.#downNames.delete(name);
    this.#options.channels.remove(link);
  }

  /**
   * Calls `tick` of each link and updates which members are down.
   *
   * @param nowMs Monotonic time, in ms.
   * @param stalledMs Time for which this process was stalled, in ms.
   * @returns Whether members went down or came back, and the names of members
   *   whose links have been down for 10 minutes.
   */
  tick(
    nowMs: number,
    stalledMs: number,
  ): { hasChanged: boolean; expired: string[] } {
    let hasChanged = false;
    const expired: string[] = [];
    for (const [name, link] of this.#links) {
      link.tick(nowMs, stalledMs);
      const downMs = link.isUp ? 0 : nowMs - link.downSinceMs;
      hasChanged = this.#setDown(name, downMs > LINK_DOWN_MAX_MS) || hasChanged;
      if (downMs > MEMBER_EXPIRY_MS) {
        expired.push(name);
      }
    }
    return { hasChanged, expired };
  }

  /** Closes all links permanently. */
  close(): void {
    for (const link of this.#links.values()) {
      link.remove();
    }
  }

  /** Returns whether the value has changed. */
  #setDown(name: string, isDown: boolean): boolean {
    if (isDown === this.#downNames.has(name)) {
      return false;
    }
    if (isDown) {
      this.#downNames.add(name);
    } else {
      this.#downNames.delete(name);
    }
    return true;
  }

  #add(record: MemberRecord): void {
    const link = new PeerLink(record, this.#options.link);
    this.#links.set(record.name, link);
    this.#options.channels.add(link);
  }

  #closeAllBut(selected: ReadonlySet<string>): boolean {
    let isComplete = true;
    for (const [name, link] of this.#links) {
      if (selected.has(name)) {
        continue;
      }
      if (link.load.pendingCount > 0) {
        isComplete = false;
      } else {
        this.remove(name);
      }
    }
    return isComplete;
  }
}
