/** Decision part of the membership: events and times in, messages out. */
import type { PeerIdentity } from "../core/peer_transport.ts";
import type { PeerStanding } from "../decisions/upstream_directory.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberPlace,
  MemberUpdate,
  MemberVersion,
  ProbeAnswer,
  ProbeRequest,
  PushRequest,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";
import { ContactBook } from "./contact_book.ts";
import { FailureDetector, PROBE_TIMEOUT_MS } from "./failure_detector.ts";
import { LoopHealth } from "./loop_health.ts";
import { LOST_RETENTION_MS, LostAddresses } from "./lost_addresses.ts";
import {
  isLiveState,
  type MemberChange,
  MemberRegistry,
} from "./member_registry.ts";
import {
  type AnswerWithActions,
  type MembershipAction,
  type MembershipEvent,
  peerAddressOf,
  type ProbeAction,
} from "./membership_events.ts";
import { OwnMember, type OwnMemberOptions } from "./own_member.ts";
import { ReaderRanks } from "./reader_ranks.ts";
import { RemoteExchange } from "./remote_exchange.ts";
import { SuspicionJudge } from "./suspicion_judge.ts";
import { UpdateOutbox } from "./update_outbox.ts";
import {
  buildSyncAnswer,
  buildSyncRequest,
  listNewerThan,
  softenDeath,
} from "./view_repair.ts";

/** Period of the event `tick`, in ms. */
export const TICK_MS = 100;
/** Differing digests in a row after which views are compared. */
const MISMATCHES_TO_SYNC_COUNT = 2;
const SYNC_INTERVAL_MS = 1_000;
const FORGET_INTERVAL_MS = 10_000;

/** Options of {@link MembershipCore}. */
export type MembershipCoreOptions = OwnMemberOptions & {
  contacts: readonly Address[];
  /** Whether this daemon holds a reader's lease, besides the readers by rank. */
  holdsReaderLease?: () => boolean;
};

/**
 * Membership of one daemon without any input or output of its own.
 *
 * @example
 * const core = new MembershipCore(options, clock.monotonicMs());
 * for (const action of core.handle({ kind: "tick" }, clock.monotonicMs())) send(action);
 */
export class MembershipCore {
  readonly registry: MemberRegistry;
  readonly readers: ReaderRanks;
  readonly #own: OwnMember;
  readonly #options: MembershipCoreOptions;
  readonly #detector = new FailureDetector();
  readonly #health: LoopHealth;
  readonly #judge: SuspicionJudge;
  readonly #outbox: UpdateOutbox;
  readonly #contacts = new ContactBook();
  readonly #lost: LostAddresses;
  readonly #exchange: RemoteExchange;
  #actions: MembershipAction[] = [];
  #changes: MemberChange[] = [];
  #neighbourIds: readonly string[] = [];
  #ringsVersion = -1;
  #isJoined = false;
  #mismatchesCount = 0;
  #lastSyncMs = Number.NEGATIVE_INFINITY;
  #lastForgetMs: number;

  /**
   * @param options Identity, place and contacts.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(options: MembershipCoreOptions, nowMs: number) {
    const { contacts, dataCentre } = options;
    this.#options = options;
    this.#own = new OwnMember(options, nowMs);
    this.registry = new MemberRegistry(dataCentre);
    this.registry.apply(this.#own.update, { nowMs });
    this.readers = new ReaderRanks(this.registry);
    this.#health = new LoopHealth(nowMs, {
      tickMs: TICK_MS,
      toleranceMs: PROBE_TIMEOUT_MS,
    });
    this.#judge = new SuspicionJudge(this.registry, this.#own.id);
    this.#outbox = new UpdateOutbox(this.registry);
    this.#lost = new LostAddresses(nowMs);
    this.#exchange = new RemoteExchange(this.readers, { dataCentre, nowMs });
    this.#contacts.add(contacts, peerAddressOf(options.place));
    this.#isJoined = contacts.length === 0;
    this.#lastForgetMs = nowMs;
    this.#collectChanges(nowMs);
  }

  /** Own identity; its incarnation may have been raised. */
  get identity(): PeerIdentity {
    const { instanceId, incarnationEpochMs, dataCentre } = this.#own.update;
    return { instanceId, incarnationEpochMs, dataCentre };
  }

  /** Statement about this daemon. */
  get ownUpdate(): MemberUpdate {
    return this.#own.update;
  }

  /** Whether this daemon exchanges with other data centres. */
  get isReader(): boolean {
    return this.#options.holdsReaderLease?.() === true ||
      this.readers.listReaders(this.#options.dataCentre).includes(this.#own.id);
  }

  /** Whether a view was compared with a peer since the start. */
  get isJoined(): boolean {
    return this.#isJoined;
  }

  /** Observers and observed members, without those that are not live. */
  get neighbourIds(): readonly string[] {
    return this.#neighbourIds;
  }

  /** Live readers of other data centres; empty unless this is a reader. */
  get remoteReaderIds(): readonly string[] {
    if (!this.isReader) {
      return [];
    }
    return this.#exchange.listDataCentres()
      .flatMap((dataCentre) => this.readers.listReaders(dataCentre));
  }

  /** Standing of this daemon among its peers. */
  get standing(): PeerStanding {
    const knownPeersCount = this.registry.rings.size - 1 +
      this.registry.lostPeersCount;
    return { knownPeersCount, ...this.#own.standing };
  }

  /** Returns the changes of members since the last call. */
  takeChanges(): MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /**
   * Handles one event.
   *
   * @param event What happened.
   * @param nowMs Monotonic time, in ms.
   * @returns Messages to send.
   */
  handle(event: MembershipEvent, nowMs: number): MembershipAction[] {
    this.#observeLoop(nowMs);
    const fromId = this.#dispatch(event, nowMs);
    return this.#finish(nowMs, fromId);
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
    this.#observeLoop(call.nowMs);
    if (request.held !== undefined) {
      this.#learnHeld(request.held, call.nowMs);
    }
    const held = this.registry.versionOf(call.from.instanceId);
    const actions = this.#finish(call.nowMs);
    const answer = {
      instanceId: this.#own.id,
      digest: this.registry.digests.total,
      ...(held === undefined ? {} : { held }),
    };
    return { answer, actions };
  }

  /**
   * Answers a request for the records that differ.
   *
   * @param request Request of a peer.
   * @param call Authenticated sender and monotonic time, in ms.
   * @returns Answer, and messages to send.
   */
  answerSync(
    request: SyncRequest,
    call: { from: PeerIdentity; nowMs: number },
  ): AnswerWithActions<SyncAnswer> {
    this.#observeLoop(call.nowMs);
    if (request.sender.instanceId === call.from.instanceId) {
      this.#isJoined = true;
      this.#apply(request.sender, call.nowMs);
    }
    const actions = this.#finish(call.nowMs, call.from.instanceId);
    const answer = buildSyncAnswer(this.registry, this.#own.update, request);
    return { answer, actions };
  }

  #dispatch(event: MembershipEvent, nowMs: number): string | undefined {
    switch (event.kind) {
      case "tick":
        return this.#tick(nowMs);
      case "probeAnswered":
        return this.#acceptProbeAnswer(event.probe, event.answer, nowMs);
      case "probeFailed":
        return this.#judgeFailedProbe(event, nowMs);
      case "syncAnswered":
        return this.#acceptSyncAnswer(event.address, event.answer, nowMs);
      case "syncFailed":
        return undefined;
      case "pushed":
        return this.#acceptPush(event.request, event.fromId, nowMs);
      case "contactsFound":
        this.#contacts.add(event.addresses, peerAddressOf(this.#own.update));
        return undefined;
      case "incarnationKnown": {
        const { incarnationEpochMs } = event;
        const claimed = { incarnationEpochMs, sequence: 0 };
        this.#learnHeld({ ...claimed, state: "left" }, nowMs);
        return undefined;
      }
      case "placed":
        return this.#changeOwn(event.place, nowMs);
      case "leave":
        return this.#changeOwn({ state: "leaving" }, nowMs);
      case "stay":
        return this.#changeOwn({ state: "alive" }, nowMs);
      case "left":
        return this.#changeOwn({ state: "left" }, nowMs);
    }
  }

  #tick(nowMs: number): undefined {
    if (this.standing.knownPeersCount === 0) {
      this.#own.beAlone(nowMs);
    }
    for (const instanceId of this.#detector.takeDue(nowMs)) {
      this.#probe("observed", instanceId);
    }
    const lost = this.#lost.takeDue(nowMs);
    if (lost !== undefined) {
      this.#probe("lost", lost.instanceId, lost.address);
    }
    for (const update of this.#judge.listExpired(nowMs)) {
      this.#apply(update, nowMs);
    }
    this.#exchangeRemotely(nowMs);
    this.#compareWithContact(nowMs);
    if (nowMs - this.#lastForgetMs >= FORGET_INTERVAL_MS) {
      this.#lastForgetMs = nowMs;
      this.registry.forgetLost(nowMs - LOST_RETENTION_MS);
    }
  }

  #exchangeRemotely(nowMs: number): void {
    if (!this.isReader) {
      return;
    }
    const instanceId = this.#exchange.takeDue(nowMs);
    if (instanceId !== undefined) {
      this.#probe("remote", instanceId);
    }
  }

  #compareWithContact(nowMs: number): void {
    const contact = this.#contacts.takeDue(nowMs, this.#isJoined);
    if (contact !== undefined) {
      this.#sync(contact, nowMs);
    }
  }

  #probe(
    purpose: ProbeAction["purpose"],
    instanceId: string,
    lostAddress?: Address,
  ): void {
    const known = this.registry.updateOf(instanceId);
    const address = lostAddress ?? (known && peerAddressOf(known));
    if (address === undefined) {
      return;
    }
    const held = this.registry.versionOf(instanceId);
    const digest = this.registry.digests.total;
    const request = held === undefined ? { digest } : { held, digest };
    this.#actions.push({
      kind: "probe",
      purpose,
      instanceId,
      address,
      request,
    });
  }

  #sync(address: Address, nowMs: number, after = ""): void {
    this.#lastSyncMs = nowMs;
    const request = buildSyncRequest(this.registry, this.#own.update, {
      after,
    });
    this.#actions.push({ kind: "sync", address, request });
  }

  #acceptProbeAnswer(
    probe: ProbeAction,
    answer: ProbeAnswer,
    nowMs: number,
  ): undefined {
    if (answer.instanceId !== probe.instanceId) {
      this.#acceptReplacement(probe, nowMs);
      return;
    }
    const { held } = answer;
    if (probe.purpose === "observed") {
      this.#detector.acknowledge(probe.instanceId);
      const isAccepted = held?.state === "alive" || held?.state === "leaving";
      this.#own.acknowledge(isAccepted, nowMs);
    }
    if (held !== undefined) {
      this.#learnHeld(held, nowMs);
    }
    if (probe.purpose === "remote") {
      this.#exchange.succeed(this.#dataCentreOf(probe.instanceId));
    }
    this.#compareDigests(probe, answer.digest, nowMs);
  }

  /** Another instance answered at the address of a member. */
  #acceptReplacement(probe: ProbeAction, nowMs: number): void {
    if (probe.purpose === "observed") {
      const failure = "replaced";
      this.#judgeFailure(probe.instanceId, { failure, sentMs: nowMs }, nowMs);
    }
    if (probe.purpose === "lost") {
      this.#lost.remove(probe.instanceId);
      this.#sync(probe.address, nowMs);
    }
  }

  #compareDigests(probe: ProbeAction, digest: number, nowMs: number): void {
    const isEqual = digest === this.registry.digests.total;
    this.#mismatchesCount = isEqual ? 0 : this.#mismatchesCount + 1;
    // Views differ for a moment during each flood; a lost member that answers
    // is known to differ.
    const isDue = probe.purpose !== "observed" ||
      this.#mismatchesCount >= MISMATCHES_TO_SYNC_COUNT;
    if (
      !isEqual && isDue && nowMs - this.#lastSyncMs >= SYNC_INTERVAL_MS
    ) {
      this.#sync(probe.address, nowMs);
    }
  }

  #judgeFailedProbe(
    event: MembershipEvent & { kind: "probeFailed" },
    nowMs: number,
  ): undefined {
    const { probe, failure, sentMs } = event;
    if (probe.purpose === "remote") {
      this.#exchange.fail(this.#dataCentreOf(probe.instanceId));
    }
    if (probe.purpose === "observed") {
      this.#judgeFailure(probe.instanceId, { failure, sentMs }, nowMs);
    }
  }

  #judgeFailure(
    instanceId: string,
    failed: {
      failure: Parameters<FailureDetector["fail"]>[1]["failure"];
      sentMs: number;
    },
    nowMs: number,
  ): void {
    const member = this.registry.updateOf(instanceId);
    if (member === undefined) {
      return;
    }
    const verdict = this.#detector.fail(instanceId, {
      failure: failed.failure,
      isExcused: this.#health.wasLateSince(failed.sentMs),
      version: member,
    });
    if (verdict === "gone") {
      this.#apply({ ...member, state: "gone" }, nowMs);
    }
    if (verdict === "suspect") {
      this.#apply(this.#judge.suspectBySelf(member), nowMs);
    }
  }

  #acceptSyncAnswer(
    address: Address,
    answer: SyncAnswer,
    nowMs: number,
  ): string {
    const fromId = answer.self.instanceId;
    const newer = listNewerThan(this.registry, answer);
    this.#outbox.repair(address, newer);
    this.#outbox.isQuiet = !this.#isJoined;
    this.#apply(answer.self, nowMs);
    this.#applyRepairs(answer.updates, fromId, nowMs);
    this.#outbox.isQuiet = false;
    if (answer.next === "") {
      this.#isJoined = true;
    } else {
      this.#sync(address, nowMs, answer.next);
    }
    return fromId;
  }

  #acceptPush(request: PushRequest, fromId: string, nowMs: number): string {
    if (request.isRepair) {
      this.#applyRepairs(request.updates, fromId, nowMs);
      return fromId;
    }
    for (const update of request.updates) {
      this.#apply(update, nowMs);
    }
    return fromId;
  }

  #applyRepairs(
    updates: readonly MemberUpdate[],
    fromId: string,
    nowMs: number,
  ): void {
    const { dataCentre } = this.#options;
    for (const update of updates) {
      const softened = softenDeath(this.registry, update, {
        dataCentre,
        fromId,
      });
      this.#apply(softened.update, nowMs, softened.claimedDead);
    }
  }

  #apply(update: MemberUpdate, nowMs: number, claimedDead = false): void {
    if (update.instanceId === this.#own.id) {
      this.#learnHeld(update, nowMs);
      return;
    }
    if (this.registry.apply(update, { nowMs, claimedDead })) {
      this.#outbox.add(update);
      this.#collectChanges(nowMs);
    }
  }

  /** Learns how a peer holds this daemon, and refutes where necessary. */
  #learnHeld(held: MemberVersion, nowMs: number): void {
    if (held.state !== "alive" && held.state !== "leaving") {
      this.#own.rejectBy();
    }
    if (this.#own.refute(held)) {
      this.#publishOwn(nowMs);
    }
  }

  #changeOwn(
    fields: Partial<MemberPlace> & Partial<MemberVersion>,
    nowMs: number,
  ): undefined {
    this.#own.change(fields);
    this.#publishOwn(nowMs);
  }

  #publishOwn(nowMs: number): void {
    this.registry.apply(this.#own.update, { nowMs });
    this.#outbox.add(this.#own.update);
    this.#collectChanges(nowMs);
  }

  #observeLoop(nowMs: number): void {
    const pauseMs = this.#health.observe(nowMs);
    if (pauseMs > 0) {
      this.#judge.postpone(pauseMs);
    }
  }

  /** Follows changes of the members with observers, lost addresses and ranks. */
  #collectChanges(nowMs: number): void {
    const changes = this.registry.takeChanges();
    for (const change of changes) {
      const { instanceId, kind } = change;
      const isLost = kind === "dead" || kind === "gone";
      const member = this.registry.updateOf(instanceId);
      if (isLost && this.#detector.observes(instanceId) && member) {
        this.#rememberLost(member, nowMs);
      }
      if (kind === "joined") {
        this.#lost.remove(instanceId);
      }
    }
    this.#changes.push(...changes);
    if (changes.length > 0) {
      this.readers.invalidate();
    }
  }

  #rememberLost(member: MemberUpdate, nowMs: number): void {
    if (member.state !== "left" && !isLiveState(member.state)) {
      this.#lost.add(member.instanceId, peerAddressOf(member), nowMs);
    }
  }

  #followRings(nowMs: number): void {
    const { rings } = this.registry;
    if (this.#ringsVersion === rings.version) {
      return;
    }
    this.#ringsVersion = rings.version;
    const observed = rings.observedBy(this.#own.id);
    const observers = rings.observersOf(this.#own.id);
    this.#detector.setTargets(observed, nowMs);
    this.#neighbourIds = [...new Set([...observed, ...observers])];
  }

  #finish(nowMs: number, fromId?: string): MembershipAction[] {
    this.#followRings(nowMs);
    const remoteIds = this.#outbox.isEmpty ? [] : this.remoteReaderIds;
    const pushes = this.#outbox.take({
      neighbourIds: this.#neighbourIds,
      remoteIds,
      fromId,
      dataCentre: this.#options.dataCentre,
    });
    const actions = [...pushes, ...this.#actions];
    this.#actions = [];
    return actions;
  }

  #dataCentreOf(instanceId: string): string {
    return this.registry.updateOf(instanceId)?.dataCentre ?? "";
  }
}
