/** Collects the updates of one event and addresses them. */
import type { Address } from "../schemas/common_schema.ts";
import type { MemberUpdate } from "../schemas/member_schema.ts";
import type { MemberRegistry } from "./member_registry.ts";
import { peerAddressOf, type PushAction } from "./membership_events.ts";

const PUSH_UPDATES_MAX_COUNT = 200;

/** Receivers of {@link UpdateOutbox.take}. */
export type OutboxReceivers = {
  neighbourIds: readonly string[];
  /** Readers of other data centres. */
  remoteIds: readonly string[];
  /** Daemon that the updates came from; it gets none of them back. */
  fromId: string | undefined;
  /** Own data centre; only its members are announced to other ones. */
  dataCentre: string;
};

function buildPushes(
  address: Address,
  updates: readonly MemberUpdate[],
  isRepair: boolean,
): PushAction[] {
  const pushes: PushAction[] = [];
  for (let start = 0; start < updates.length; start += PUSH_UPDATES_MAX_COUNT) {
    const page = updates.slice(start, start + PUSH_UPDATES_MAX_COUNT);
    pushes.push({
      kind: "push",
      address,
      request: { updates: page, isRepair },
    });
  }
  return pushes;
}

/** Updates that are to be flooded after the present event. */
export class UpdateOutbox {
  /** While true, news is not flooded: a newcomer learns what others know. */
  isQuiet = false;
  readonly #registry: MemberRegistry;
  #updates: MemberUpdate[] = [];
  #repairs: PushAction[] = [];

  /**
   * @param registry All members.
   */
  constructor(registry: MemberRegistry) {
    this.#registry = registry;
  }

  /** Whether there is nothing to send. */
  get isEmpty(): boolean {
    return this.#updates.length === 0 && this.#repairs.length === 0;
  }

  /** Adds news. */
  add(update: MemberUpdate): void {
    if (!this.isQuiet) {
      this.#updates.push(update);
    }
  }

  /** Adds records that one peer lacks. */
  repair(address: Address, updates: readonly MemberUpdate[]): void {
    this.#repairs.push(...buildPushes(address, updates, true));
  }

  /**
   * Takes all messages.
   *
   * @param receivers Neighbours, remote readers and the origin.
   * @returns Messages to send.
   */
  take(receivers: OutboxReceivers): PushAction[] {
    const pushes = this.#repairs;
    const updates = this.#updates;
    this.#repairs = [];
    this.#updates = [];
    if (updates.length === 0) {
      return pushes;
    }
    const { neighbourIds, remoteIds, fromId, dataCentre } = receivers;
    const own = updates.filter((update) => update.dataCentre === dataCentre);
    return [
      ...pushes,
      ...this.#address(neighbourIds, updates, fromId),
      ...this.#address(remoteIds, own, fromId),
    ];
  }

  #address(
    ids: readonly string[],
    updates: readonly MemberUpdate[],
    fromId: string | undefined,
  ): PushAction[] {
    return ids
      .filter((id) => id !== fromId)
      .flatMap((id) => {
        const row = this.#registry.table.rowOf(id);
        return row === undefined ? [] : buildPushes(
          peerAddressOf(this.#registry.table.read(row)),
          updates,
          false,
        );
      });
  }
}
