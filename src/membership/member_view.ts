/** Members as this daemon knows them, including this daemon. */
import type {
  MemberAttributes,
  MemberUpdate,
  MemberVersion,
} from "../schemas/member_schema.ts";
import { type MemberChange, MemberRegistry } from "./member_registry.ts";
import { OwnMember, type OwnMemberOptions } from "./own_member.ts";
import { ReaderRanks } from "./reader_ranks.ts";
import { UpdateOutbox } from "./update_outbox.ts";

/**
 * Applies the updates of peers and of this daemon, and queues new ones to be
 * flooded.
 */
export class MemberView {
  readonly own: OwnMember;
  readonly registry: MemberRegistry;
  /** Candidates and readers of each data centre. */
  readonly readers: ReaderRanks;
  readonly outbox: UpdateOutbox;
  readonly dataCentre: string;
  #changes: MemberChange[] = [];

  /**
   * @param options Identity and attributes of this daemon.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(options: OwnMemberOptions, nowMs: number) {
    this.dataCentre = options.dataCentre;
    this.own = new OwnMember(options, nowMs);
    this.registry = new MemberRegistry(this.dataCentre);
    this.readers = new ReaderRanks(this.registry);
    this.outbox = new UpdateOutbox(this.registry);
    this.registry.apply(this.own.update, { nowMs });
    this.#collectChanges();
  }

  /**
   * Applies an update and floods it when it is new.
   *
   * @param update Update of a member.
   * @param options Time, and whether the update replaces another daemon's `dead`.
   */
  apply(
    update: MemberUpdate,
    options: { nowMs: number; claimedDead?: boolean },
  ): void {
    if (update.instanceId === this.own.id) {
      this.handleClaim(update, options.nowMs);
      return;
    }
    if (this.registry.apply(update, options)) {
      this.outbox.add(update);
      this.#collectChanges();
    }
  }

  /**
   * Handles a version of this daemon that a peer or the platform stores, and
   * refutes it when it is newer than the current one.
   */
  handleClaim(held: MemberVersion, nowMs: number): void {
    if (held.state !== "alive" && held.state !== "leaving") {
      this.own.recordRejection();
    }
    if (this.own.refute(held, nowMs)) {
      this.#publishOwn(nowMs);
    }
  }

  /** Changes the state or attributes of this daemon and floods the change. */
  changeOwn(
    fields: Partial<MemberAttributes> & Partial<MemberVersion>,
    nowMs: number,
  ): void {
    this.own.change(fields);
    this.#publishOwn(nowMs);
  }

  /** Returns and clears the changes since the last call. */
  takeChanges(): MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  #publishOwn(nowMs: number): void {
    this.registry.apply(this.own.update, { nowMs });
    this.outbox.add(this.own.update);
    this.#collectChanges();
  }

  #collectChanges(): void {
    const changes = this.registry.takeChanges();
    this.#changes.push(...changes);
    this.readers.applyChanges(changes);
  }
}
