/** Compares the own view with those of peers and repairs differences. */
import type { PeerIdentity } from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberUpdate,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";
import { ContactList } from "./contact_list.ts";
import type { MemberView } from "./member_view.ts";
import {
  peerAddressOf,
  type ProbeAction,
  type SyncAction,
} from "./membership_events.ts";
import {
  buildSyncAnswer,
  buildSyncRequest,
  downgradeDeath,
  listNewerThan,
} from "./view_repair.ts";

/** Differing digests in a row after which views are compared. */
const MISMATCHES_TO_SYNC_COUNT = 2;
const SYNC_INTERVAL_MS = 1_000;

/** Joins through contacts, and repairs what floods missed. */
export class ViewSynchroniser {
  readonly #view: MemberView;
  readonly #contacts = new ContactList();
  #isJoined = false;
  #mismatchesCount = 0;
  #lastSyncMs = Number.NEGATIVE_INFINITY;

  /**
   * @param view Members.
   * @param contacts Addresses of peers from the settings.
   */
  constructor(view: MemberView, contacts: readonly Address[]) {
    this.#view = view;
    this.addContacts(contacts);
  }

  /** Whether the view was compared with a peer since the start. */
  get isJoined(): boolean {
    return this.#isJoined;
  }

  /** Adds addresses of peers. */
  addContacts(addresses: readonly Address[]): void {
    this.#contacts.add(addresses, peerAddressOf(this.#view.own.update));
  }

  /** Lists the comparison with a contact when it is due. */
  tick(nowMs: number): SyncAction[] {
    const contact = this.#contacts.takeDue(nowMs, this.#isJoined);
    return contact === undefined ? [] : [this.start(contact, nowMs)];
  }

  /** Builds the request that compares the views. */
  start(address: Address, nowMs: number, after = ""): SyncAction {
    this.#lastSyncMs = nowMs;
    const { registry, own } = this.#view;
    const request = buildSyncRequest(registry, own.update, { after });
    return { kind: "sync", address, request };
  }

  /** Compares the digest of a peer that answered a probe. */
  compareDigest(
    probe: ProbeAction,
    digest: number,
    nowMs: number,
  ): SyncAction[] {
    const isEqual = digest === this.#view.registry.digests.total;
    this.#mismatchesCount = isEqual ? 0 : this.#mismatchesCount + 1;
    // Views differ for a moment during each flood, but a lost member that
    // answers is known to differ.
    const isDue = probe.purpose !== "observed" ||
      this.#mismatchesCount >= MISMATCHES_TO_SYNC_COUNT;
    const isPaced = nowMs - this.#lastSyncMs >= SYNC_INTERVAL_MS;
    return !isEqual && isDue && isPaced
      ? [this.start(probe.address, nowMs)]
      : [];
  }

  /** Handles a page of records, and requests the next one. */
  acceptAnswer(
    address: Address,
    answer: SyncAnswer,
    nowMs: number,
  ): SyncAction[] {
    const { outbox, registry } = this.#view;
    outbox.addRepair(address, listNewerThan(registry, answer));
    outbox.suppressesFloods = !this.#isJoined;
    this.#view.apply(answer.self, { nowMs });
    this.applyRepair(answer.updates, { fromId: answer.self.instanceId, nowMs });
    outbox.suppressesFloods = false;
    if (answer.next !== "") {
      return [this.start(address, nowMs, answer.next)];
    }
    this.#isJoined = true;
    return [];
  }

  /** Applies records of another view. */
  applyRepair(
    updates: readonly MemberUpdate[],
    options: { fromId: string; nowMs: number },
  ): void {
    const { fromId, nowMs } = options;
    const { dataCentre, registry } = this.#view;
    for (const update of updates) {
      const softened = downgradeDeath(registry, update, { dataCentre, fromId });
      const { claimedDead } = softened;
      this.#view.apply(softened.update, { nowMs, claimedDead });
    }
  }

  /** Applies the statement of a peer about itself and answers its request. */
  answer(
    request: SyncRequest,
    call: { from: PeerIdentity; nowMs: number },
  ): SyncAnswer {
    if (request.sender.instanceId === call.from.instanceId) {
      this.#isJoined = true;
      this.#view.apply(request.sender, { nowMs: call.nowMs });
    }
    const { registry, own } = this.#view;
    return buildSyncAnswer(registry, own.update, request);
  }
}
