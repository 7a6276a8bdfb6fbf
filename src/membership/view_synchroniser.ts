/** Synchronises this daemon's view of the members with those of peers. */
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

/** Consecutive probes with differing digests that start a synchronisation. */
const MISMATCHES_TO_SYNC_COUNT = 2;
/**
 * Time that must have passed since the last synchronisation before differing
 * digests start another one, in ms.
 */
const SYNC_INTERVAL_MS = 1_000;

/** Joins through contacts, and repairs differences caused by lost floods. */
export class ViewSynchroniser {
  readonly #view: MemberView;
  readonly #contacts = new ContactList();
  #isJoined = false;
  #mismatchesCount = 0;
  #lastSyncMs = Number.NEGATIVE_INFINITY;

  /**
   * @param view View of the members.
   * @param contacts Addresses of peers from the settings.
   */
  constructor(view: MemberView, contacts: readonly Address[]) {
    this.#view = view;
    this.addContacts(contacts);
  }

  /** Whether this daemon has synchronised with a peer since its start. */
  get isJoined(): boolean {
    return this.#isJoined;
  }

  /** Adds addresses of peers, which are contacted first. */
  addContacts(addresses: readonly Address[]): void {
    this.#contacts.add(addresses, peerAddressOf(this.#view.own.update));
  }

  /** Starts a synchronisation with a contact when one is due. */
  tick(nowMs: number): SyncAction[] {
    const contact = this.#contacts.takeDue(nowMs, this.#isJoined);
    return contact === undefined ? [] : [this.requestPage(contact, nowMs)];
  }

  /** Requests one page of the records that differ; by default, the first. */
  requestPage(address: Address, nowMs: number, after = ""): SyncAction {
    this.#lastSyncMs = nowMs;
    const { registry, own } = this.#view;
    const request = buildSyncRequest(registry, own.update, { after });
    return { kind: "sync", address, request };
  }

  /**
   * Compares the digest of a peer that answered a probe, and starts a
   * synchronisation when the views differ and one is due.
   */
  compareDigest(
    probe: ProbeAction,
    digest: number,
    nowMs: number,
  ): SyncAction[] {
    const isEqual = digest === this.#view.registry.digests.total;
    this.#mismatchesCount = isEqual ? 0 : this.#mismatchesCount + 1;
    // Views differ briefly during each flood, so a single mismatch with an
    // observed member is ignored. The first one counts with a member of another
    // data centre, and with a lost member, whose view is certain to differ.
    const isDue = probe.purpose !== "observed" ||
      this.#mismatchesCount >= MISMATCHES_TO_SYNC_COUNT;
    const isIntervalOver = nowMs - this.#lastSyncMs >= SYNC_INTERVAL_MS;
    return !isEqual && isDue && isIntervalOver
      ? [this.requestPage(probe.address, nowMs)]
      : [];
  }

  /** Applies a page of records, and requests the next page. */
  applyAnswer(
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
      return [this.requestPage(address, nowMs, answer.next)];
    }
    this.#isJoined = true;
    return [];
  }

  /** Applies records from the view of a peer. */
  applyRepair(
    updates: readonly MemberUpdate[],
    options: { fromId: string; nowMs: number },
  ): void {
    const { fromId, nowMs } = options;
    const { dataCentre, registry } = this.#view;
    for (const update of updates) {
      const downgraded = downgradeDeath(registry, update, {
        dataCentre,
        fromId,
      });
      const { claimedDead } = downgraded;
      this.#view.apply(downgraded.update, { nowMs, claimedDead });
    }
  }

  /** Applies a peer's update of itself and answers its request. */
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
