/** Decisions of the membership: which messages follow from an event. */
import type { PeerIdentity } from "../core/peer_transport.ts";
import type { PeerConnectivity } from "../decisions/selection/upstream_directory.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberUpdate,
  ProbeAnswer,
  ProbeRequest,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";
import { LOST_RETENTION_MS } from "./lost_addresses.ts";
import { MemberProber } from "./member_prober.ts";
import type { MemberChange, MemberRegistry } from "./member_registry.ts";
import { MemberView } from "./member_view.ts";
import type {
  AnswerWithActions,
  MembershipAction,
  MembershipEvent,
  ProbeAction,
} from "./membership_events.ts";
import type { OwnMemberOptions } from "./own_member.ts";
import type { ReaderRanks } from "./reader_ranks.ts";
import { ViewSynchroniser } from "./view_synchroniser.ts";

const FORGET_INTERVAL_MS = 10_000;

/** Options of {@link MembershipCore}. */
export type MembershipCoreOptions = OwnMemberOptions & {
  contacts: readonly Address[];
  /**
   * Whether this daemon holds a reader lease, which makes it a reader. The
   * members that {@link ReaderRanks} ranks first are readers even without one.
   */
  holdsReaderLease?: () => boolean;
};

/**
 * Membership of one daemon. Performs no input or output itself: the caller
 * passes events in and sends the returned messages.
 *
 * @example
 * const core = new MembershipCore(options, clock.monotonicMs());
 * for (const action of core.handle({ kind: "tick" }, clock.monotonicMs())) send(action);
 */
export class MembershipCore {
  readonly #view: MemberView;
  readonly #prober: MemberProber;
  readonly #synchroniser: ViewSynchroniser;
  readonly #holdsReaderLease: () => boolean;
  #changes: MemberChange[] = [];
  #lastForgetMs: number;

  /**
   * @param options Identity, attributes and contacts.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(options: MembershipCoreOptions, nowMs: number) {
    this.#view = new MemberView(options, nowMs);
    this.#prober = new MemberProber(this.#view, nowMs);
    this.#synchroniser = new ViewSynchroniser(this.#view, options.contacts);
    this.#holdsReaderLease = options.holdsReaderLease ?? (() => false);
    this.#lastForgetMs = nowMs;
  }

  /** Readers and lease candidates of each data centre. */
  get readers(): ReaderRanks {
    return this.#view.readers;
  }

  /** All members. */
  get registry(): MemberRegistry {
    return this.#view.registry;
  }

  /** Identity of this daemon; its incarnation may have been raised. */
  get identity(): PeerIdentity {
    const { instanceId, incarnationEpochMs, dataCentre } = this.ownUpdate;
    return { instanceId, incarnationEpochMs, dataCentre };
  }

  /** Update that describes this daemon. */
  get ownUpdate(): MemberUpdate {
    return this.#view.own.update;
  }

  /** Whether this daemon synchronises with other data centres. */
  get isReader(): boolean {
    const { readers, dataCentre, own } = this.#view;
    return this.#holdsReaderLease() ||
      readers.listReaders(dataCentre).includes(own.id);
  }

  /**
   * Number of raises of this daemon's incarnation. One raise may follow a clock
   * that was set back; more mean that another daemon uses the same instance id.
   */
  get incarnationRaisesCount(): number {
    return this.#view.own.raisesCount;
  }

  /** Whether this daemon has synchronised with a peer since its start. */
  get isJoined(): boolean {
    return this.#synchroniser.isJoined;
  }

  /** Members that this daemon observes or is observed by. */
  get neighbourIds(): readonly string[] {
    return this.#prober.neighbourIds;
  }

  /** Live readers of other data centres; empty unless this is a reader. */
  get remoteReaderIds(): readonly string[] {
    return this.isReader ? this.#prober.listRemoteReaders() : [];
  }

  /** Connectivity of this daemon with its peers. */
  get peerConnectivity(): PeerConnectivity {
    const { registry, own } = this.#view;
    const knownPeersCount = registry.rings.size - 1 + registry.deadPeersCount;
    return { knownPeersCount, ...own.peerConnectivity };
  }

  /** Returns and clears the changes of members since the last call. */
  takeChanges(): MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /**
   * Handles one event.
   *
   * @param event Event to handle.
   * @param nowMs Monotonic time, in ms.
   * @returns Messages to send.
   */
  handle(event: MembershipEvent, nowMs: number): MembershipAction[] {
    this.#prober.trackLoopPauses(nowMs);
    const actions = this.#dispatch(event, nowMs);
    const pushes = this.#collectPushes(nowMs, this.#senderOf(event));
    return [...pushes, ...actions];
  }

  /**
   * Answers a probe.
   *
   * @param request Probe of a peer.
   * @param call Authenticated sender and monotonic time, in ms.
   * @returns Answer, and messages to send.
   */
  answerProbe(
    request: ProbeRequest,
    call: { from: PeerIdentity; nowMs: number },
  ): AnswerWithActions<ProbeAnswer> {
    const { nowMs } = call;
    this.#prober.trackLoopPauses(nowMs);
    if (request.held !== undefined) {
      this.#view.handleClaim(request.held, nowMs);
    }
    const actions = this.#collectPushes(nowMs);
    const held = this.registry.versionOf(call.from.instanceId);
    const instanceId = this.#view.own.id;
    const digest = this.registry.digests.total;
    const answer = held === undefined
      ? { instanceId, digest }
      : { instanceId, held, digest };
    return { answer, actions };
  }

  /**
   * Answers a request to synchronise views.
   *
   * @param request Request of a peer.
   * @param call Authenticated sender and monotonic time, in ms.
   * @returns Answer, and messages to send.
   */
  answerSync(
    request: SyncRequest,
    call: { from: PeerIdentity; nowMs: number },
  ): AnswerWithActions<SyncAnswer> {
    this.#prober.trackLoopPauses(call.nowMs);
    const answer = this.#synchroniser.answer(request, call);
    const actions = this.#collectPushes(call.nowMs, call.from.instanceId);
    return { answer, actions };
  }

  #dispatch(event: MembershipEvent, nowMs: number): MembershipAction[] {
    switch (event.kind) {
      case "tick":
        return this.#tick(nowMs);
      case "probeAnswered":
        return this.#handleProbeAnswer(event, nowMs);
      case "syncAnswered": {
        const { address, answer } = event;
        return this.#synchroniser.applyAnswer(address, answer, nowMs);
      }
      default:
        this.#applyEvent(event, nowMs);
        return [];
    }
  }

  /** Handles the events that cause no messages other than floods. */
  #applyEvent(event: MembershipEvent, nowMs: number): void {
    switch (event.kind) {
      case "probeFailed":
        return this.#prober.handleFailure(event, nowMs);
      case "pushed":
        return this.#handlePush(event, nowMs);
      case "contactsFound":
        return this.#synchroniser.addContacts(event.addresses);
      case "incarnationKnown": {
        const { incarnationEpochMs } = event;
        // Only a newer incarnation can refute `left`.
        const ended = {
          incarnationEpochMs,
          sequence: 0,
          state: "left",
        } as const;
        return this.#view.handleClaim(ended, nowMs);
      }
      case "placed":
        return this.#view.changeOwn(event.place, nowMs);
      case "leave":
        return this.#view.changeOwn({ state: "leaving" }, nowMs);
      case "cancelLeave":
        return this.#view.changeOwn({ state: "alive" }, nowMs);
      case "left":
        this.#view.outbox.isUrgent = true;
        return this.#view.changeOwn({ state: "left" }, nowMs);
    }
  }

  #tick(nowMs: number): MembershipAction[] {
    if (this.peerConnectivity.knownPeersCount === 0) {
      this.#view.own.recordNoPeers(nowMs);
    }
    if (nowMs - this.#lastForgetMs >= FORGET_INTERVAL_MS) {
      this.#lastForgetMs = nowMs;
      this.registry.forgetLost(nowMs - LOST_RETENTION_MS);
    }
    const { isReader } = this;
    return [
      ...this.#prober.tick(nowMs, { isReader }),
      ...this.#synchroniser.tick(nowMs),
    ];
  }

  #handleProbeAnswer(
    event: MembershipEvent & { kind: "probeAnswered" },
    nowMs: number,
  ): MembershipAction[] {
    const { probe, answer } = event;
    if (answer.instanceId === probe.instanceId) {
      this.#prober.handleAnswer(probe, answer, nowMs);
      return this.#synchroniser.compareDigest(probe, answer.digest, nowMs);
    }
    this.#prober.handleReplacement(probe, nowMs);
    return this.#syncWithReplacement(probe, nowMs);
  }

  /**
   * Synchronises with another instance that answered at a lost address, and
   * that this daemon may not know.
   */
  #syncWithReplacement(probe: ProbeAction, nowMs: number): MembershipAction[] {
    return probe.purpose === "lost"
      ? [this.#synchroniser.requestPage(probe.address, nowMs)]
      : [];
  }

  #handlePush(
    event: MembershipEvent & { kind: "pushed" },
    nowMs: number,
  ): void {
    const { request, fromId } = event;
    if (request.isRepair) {
      this.#synchroniser.applyRepair(request.updates, { fromId, nowMs });
      return;
    }
    this.#view.outbox.dropFor(fromId, request.updates);
    for (const update of request.updates) {
      this.#view.apply(update, { nowMs });
    }
  }

  /** Returns the peer whose updates an event contains. */
  #senderOf(event: MembershipEvent): string | undefined {
    switch (event.kind) {
      case "pushed":
        return event.fromId;
      case "syncAnswered":
        return event.answer.self.instanceId;
      default:
        return undefined;
    }
  }

  /**
   * Stores new changes for {@link takeChanges}, passes them to the prober, and
   * takes the messages of the outbox.
   */
  #collectPushes(nowMs: number, fromId?: string): MembershipAction[] {
    const changes = this.#view.takeChanges();
    this.#changes.push(...changes);
    this.#prober.applyChanges(changes, nowMs);
    const { outbox, dataCentre } = this.#view;
    if (outbox.isEmpty) {
      return [];
    }
    const { neighbourIds, remoteReaderIds: remoteIds } = this;
    return outbox.take(nowMs, { neighbourIds, remoteIds, fromId, dataCentre });
  }
}
