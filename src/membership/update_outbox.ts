/** Queues updates for each receiver and batches them at a bounded rate. */
import type { Address } from "../schemas/common_schema.ts";
import type { MemberUpdate } from "../schemas/member_schema.ts";
import type { MemberRegistry } from "./member_registry.ts";
import { peerAddressOf, type PushAction } from "./membership_events.ts";

const PUSH_UPDATES_MAX_COUNT = 200;
/**
 * Minimum time between two floods to one receiver, in ms. The first update is
 * sent at once; those of a burst, such as the start of a whole data centre, are
 * batched.
 */
const PUSH_INTERVAL_MS = 100;

/** Receivers of {@link UpdateOutbox.take}. */
export type OutboxReceivers = {
  neighbourIds: readonly string[];
  /** Readers of other data centres. */
  remoteIds: readonly string[];
  /** Daemon that sent the new updates; they are not sent back to it. */
  fromId: string | undefined;
  /** Data centre of this daemon; remote readers receive only its members. */
  dataCentre: string;
};

type Queue = {
  lastSentMs: number;
  /** Updates by member and suspecting observer. */
  readonly pending: Map<string, MemberUpdate>;
};

function keyOf(update: MemberUpdate): string {
  return `${update.instanceId}/${update.suspectedBy ?? ""}`;
}

function buildPushes(
  address: Address,
  updates: readonly MemberUpdate[],
  isRepair: boolean,
): PushAction[] {
  const pushes: PushAction[] = [];
  for (let start = 0; start < updates.length; start += PUSH_UPDATES_MAX_COUNT) {
    const page = updates.slice(start, start + PUSH_UPDATES_MAX_COUNT);
    const request = { updates: page, isRepair };
    pushes.push({ kind: "push", address, request });
  }
  return pushes;
}

/**
 * Collects updates to flood and repairs, and returns them as messages to the
 * receivers when they are due.
 */
export class UpdateOutbox {
  /**
   * Whether to discard updates instead of flooding them. Set while a joining
   * daemon receives records that its peers already have.
   */
  suppressesFloods = false;
  /** Whether updates are sent without waiting; set when this daemon ends. */
  isUrgent = false;
  readonly #registry: MemberRegistry;
  readonly #queues = new Map<string, Queue>();
  #updates: MemberUpdate[] = [];
  #repairs: PushAction[] = [];
  #pendingCount = 0;

  /**
   * @param registry All members.
   */
  constructor(registry: MemberRegistry) {
    this.#registry = registry;
  }

  /** Whether there is nothing to send. */
  get isEmpty(): boolean {
    return this.#updates.length + this.#repairs.length + this.#pendingCount ===
      0;
  }

  /** Adds an update to flood. */
  add(update: MemberUpdate): void {
    if (!this.suppressesFloods) {
      this.#updates.push(update);
    }
  }

  /** Adds records that one peer lacks. */
  addRepair(address: Address, updates: readonly MemberUpdate[]): void {
    this.#repairs.push(...buildPushes(address, updates, true));
  }

  /** Drops queued updates for a neighbour that has sent them itself. */
  dropFor(neighbourId: string, updates: readonly MemberUpdate[]): void {
    const pending = this.#queues.get(neighbourId)?.pending;
    updates.forEach((update) => pending?.delete(keyOf(update)));
  }

  /**
   * Takes the messages that are due.
   *
   * @param nowMs Monotonic time, in ms.
   * @param receivers Neighbours, remote readers and origin of the updates.
   * @returns Messages to send.
   */
  take(nowMs: number, receivers: OutboxReceivers): PushAction[] {
    const { neighbourIds, remoteIds, fromId, dataCentre } = receivers;
    const updates = this.#updates;
    const own = updates.filter((update) => update.dataCentre === dataCentre);
    const repairs = this.#repairs;
    this.#updates = [];
    this.#repairs = [];
    this.#dropQueuesExcept([...neighbourIds, ...remoteIds]);
    this.#enqueue(neighbourIds, updates, fromId);
    this.#enqueue(remoteIds, own, fromId);
    return [...repairs, ...this.#takeDue(nowMs)];
  }

  #enqueue(
    ids: readonly string[],
    updates: readonly MemberUpdate[],
    fromId: string | undefined,
  ): void {
    for (const id of ids) {
      const queue = this.#queues.get(id) ??
        { lastSentMs: Number.NEGATIVE_INFINITY, pending: new Map() };
      this.#queues.set(id, queue);
      if (id !== fromId) {
        updates.forEach((update) => queue.pending.set(keyOf(update), update));
      }
    }
  }

  #dropQueuesExcept(ids: readonly string[]): void {
    for (const id of this.#queues.keys()) {
      if (!ids.includes(id)) {
        this.#queues.delete(id);
      }
    }
  }

  #takeDue(nowMs: number): PushAction[] {
    const pushes: PushAction[] = [];
    this.#pendingCount = 0;
    for (const [id, queue] of this.#queues) {
      const isDue = this.isUrgent ||
        nowMs - queue.lastSentMs >= PUSH_INTERVAL_MS;
      if (isDue && queue.pending.size > 0) {
        pushes.push(...this.#buildPushesTo(id, [...queue.pending.values()]));
        queue.pending.clear();
        queue.lastSentMs = nowMs;
      }
      this.#pendingCount += queue.pending.size;
    }
    return pushes;
  }

  #buildPushesTo(id: string, updates: readonly MemberUpdate[]): PushAction[] {
    const row = this.#registry.table.rowOf(id);
    return row === undefined ? [] : buildPushes(
      peerAddressOf(this.#registry.table.read(row)),
      updates,
      false,
    );
  }
}
