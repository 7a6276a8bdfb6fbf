/** Connects the membership with the event loop and the peer transport. */
import { mergeArray, type Stream } from "most";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import {
  PeerError,
  type PeerFailure,
  type PeerIdentity,
  type PeerTransport,
} from "../core/peer_transport.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { OwnerRules } from "../decisions/keys/eligible_owners.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberState,
  ProbeAnswer,
  ProbeRequest,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";
import type { MemberStatus } from "../schemas/status_schema.ts";
import type { Announcement } from "../schemas/settings_schema.ts";
import { PROBE_TIMEOUT_MS } from "./failure_detector.ts";
import { TICK_MS } from "./member_prober.ts";
import {
  MembershipCore,
  type MembershipCoreOptions,
} from "./membership_core.ts";
import { MembershipDirectory } from "./membership_directory.ts";
import type {
  MembershipAction,
  MembershipEvent,
  ProbeAction,
  PushAction,
  SyncAction,
} from "./membership_events.ts";
import {
  PROBE_METHOD,
  PUSH_METHOD,
  SYNC_METHOD,
} from "./membership_methods.ts";
import {
  type UpstreamAttributes,
  UpstreamLifecycle,
} from "./upstream_lifecycle.ts";

// One more than the number of readers, so that a lost reader is replaced at once.
const LEASE_CANDIDATES_COUNT = 3;
const STATUS_STATES = {
  alive: "alive",
  leaving: "draining",
  suspect: "suspect",
  leavingSuspect: "suspect",
  dead: "dead",
  gone: "dead",
  left: "left",
} as const satisfies Record<MemberState, MemberStatus["state"]>;
const PUSH_TIMEOUT_MS = 1_000;
const SYNC_TIMEOUT_MS = 3_000;

/** Options of {@link MembershipPart}. */
export type MembershipPartOptions = MembershipCoreOptions & {
  transport: PeerTransport;
  clock: Clock;
  /** Warm-up time of a pool's upstreams, in ms. */
  coldStartMs: (pool: string) => number;
  /**
   * Returns the rules for the owners of a pool's keys; by default
   * `DEFAULT_OWNER_RULES`.
   */
  ownerRules?: (pool: string) => OwnerRules;
  /** Upstream from the settings, when it does not announce itself. */
  upstream?: Announcement;
  /**
   * Receives errors other than failures of a peer, such as a request that does
   * not match its schema.
   */
  onError?: (error: unknown) => void;
};

/** Event that the event loop delivers to the membership. */
export type MembershipInput =
  | MembershipEvent
  | {
    readonly kind: "probeRequest";
    readonly request: ProbeRequest;
    readonly from: PeerIdentity;
    readonly reply: (answer: ProbeAnswer) => void;
  }
  | {
    readonly kind: "syncRequest";
    readonly request: SyncRequest;
    readonly from: PeerIdentity;
    readonly reply: (answer: SyncAnswer) => void;
  }
  | { readonly kind: "announce"; readonly announcement: Announcement }
  | { readonly kind: "withdraw" | "drain" | "undrain" };

/**
 * Connects the membership core with the peer transport and the event loop.
 *
 * It is constructed after the transport and registered with the event loop. The
 * data path and the configuration use its `directory`.
 *
 * @example
 * const membership = new MembershipPart({
 *   instanceId, dataCentre, incarnationEpochMs: clock.wallMs(),
 *   place: { peerHost, peerPort, hopHost, hopPort, ...NO_UPSTREAM },
 *   contacts: settings.peers.contacts, upstream: settings.upstream,
 *   coldStartMs: (pool) => pools[pool]?.coldStartMs ?? 0,
 *   transport, clock,
 * });
 * const announcements = new AnnouncementPart({
 *   membership, platform, clock, random, holdsLease: () => readerLeases[0].isHeld(),
 * });
 * loop.register(membership);
 * loop.register(announcements);
 * loop.start(); // probes of peers are answered from here on
 * membership.announce(announcement); // on each announcement of the local upstream
 *
 * // On SIGTERM, `leaving` is flooded at once. After the last request has
 * // ended, `left` is flooded, and the daemon exits when its neighbours have
 * // received it.
 * membership.drain();
 * await requestsEnded;
 * await membership.leave();
 * await loop.stop();
 * await transport.close();
 */
export class MembershipPart implements ControlPart<MembershipInput> {
  readonly name = "membership";
  readonly inputs: Stream<MembershipInput>;
  /** Endpoints, peer connectivity and neighbours for the other parts. */
  readonly directory: MembershipDirectory;
  /** Life cycle of the local upstream. */
  readonly upstream: UpstreamLifecycle;
  readonly #core: MembershipCore;
  readonly #options: MembershipPartOptions;
  readonly #events = new EventSource<MembershipInput>();
  #pendingPushes = new Set<Promise<void>>();

  /**
   * @param options Identity, attributes, contacts, transport and clock.
   */
  constructor(options: MembershipPartOptions) {
    this.#options = options;
    const nowMs = options.clock.monotonicMs();
    this.#core = new MembershipCore(options, nowMs);
    this.directory = new MembershipDirectory(this.#core, options.ownerRules);
    this.upstream = new UpstreamLifecycle({
      coldStartMs: options.coldStartMs,
      publisher: {
        publishAttributes: (attributes) => this.#publishAttributes(attributes),
        setLeaving: (isLeaving) =>
          this.#handleEvent({ kind: isLeaving ? "leave" : "cancelLeave" }),
      },
    });
    const tick: MembershipInput = { kind: "tick" };
    const ticks = timerStream(TICK_MS).constant(tick);
    this.inputs = mergeArray([ticks, this.#events.stream]);
    this.#registerHandlers();
    if (options.upstream !== undefined) {
      this.upstream.announce(options.upstream, nowMs);
    }
  }

  /** Identity for the transport; its incarnation may be raised. */
  get identity(): PeerIdentity {
    return this.#core.identity;
  }

  /** Membership core, for the announcements and for metrics. */
  get core(): MembershipCore {
    return this.#core;
  }

  /** Members of this data centre that compete for the reader leases. */
  leaseCandidateIds(): readonly string[] {
    const { dataCentre } = this.identity;
    return this.#core.readers.listCandidates(dataCentre)
      .slice(0, LEASE_CANDIDATES_COUNT);
  }

  /** Lists all members for `/status`. */
  listMembers(): MemberStatus[] {
    const { registry } = this.#core;
    return [...registry.table.rows()].map((row) => {
      const pool = registry.table.poolOf(row);
      const operator = registry.table.operatorAddressOf(row);
      return {
        instanceId: registry.table.idOf(row),
        incarnationEpochMs: registry.table.incarnationOf(row),
        dataCentre: registry.table.dataCentreOf(row),
        state: STATUS_STATES[registry.stateAt(row)],
        ...(pool !== "" && { pool }),
        ...(operator !== undefined && { operator }),
      };
    });
  }

  /** Queues an announcement of the local upstream. */
  announce(announcement: Announcement): void {
    this.#events.emit({ kind: "announce", announcement });
  }

  /** Queues the withdrawal of the local upstream. */
  withdraw(): void {
    this.#events.emit({ kind: "withdraw" });
  }

  /** Floods that this instance accepts no new work. */
  drain(): void {
    this.#events.emit({ kind: "drain" });
  }

  /** Floods that this instance accepts work again. */
  undrain(): void {
    this.#events.emit({ kind: "undrain" });
  }

  /** Adds addresses of peers, for example from the platform. */
  addContacts(addresses: readonly Address[]): void {
    this.#events.emit({ kind: "contactsFound", addresses });
  }

  /** Raises this instance's incarnation above an earlier one. */
  raiseIncarnationAbove(incarnationEpochMs: number): void {
    this.#events.emit({ kind: "incarnationKnown", incarnationEpochMs });
  }

  /**
   * Floods that this daemon has ended. {@link drain} floods that it is leaving.
   *
   * @returns Resolves when all neighbours have answered or timed out.
   */
  async leave(): Promise<void> {
    this.#events.emit({ kind: "left" });
    await Promise.all(this.#pendingPushes);
  }

  /** @inheritdoc */
  handle(input: MembershipInput): void {
    const nowMs = this.#options.clock.monotonicMs();
    switch (input.kind) {
      case "probeRequest": {
        const call = { from: input.from, nowMs };
        const result = this.#core.answerProbe(input.request, call);
        input.reply(result.answer);
        return this.#perform(result.actions);
      }
      case "syncRequest": {
        const call = { from: input.from, nowMs };
        const result = this.#core.answerSync(input.request, call);
        input.reply(result.answer);
        return this.#perform(result.actions);
      }
      case "announce":
        return this.upstream.announce(input.announcement, nowMs);
      case "withdraw":
        return this.upstream.withdraw();
      case "drain":
        return this.#drain();
      case "undrain":
        return this.#undrain(nowMs);
      case "tick":
        this.upstream.tick(nowMs);
        return this.#handleEvent(input);
      default:
        return this.#handleEvent(input);
    }
  }

  #drain(): void {
    // An upstream that is absent or gone ignores the drain. The daemon still
    // leaves, because it is an observer and may be a reader.
    this.upstream.drain();
    if (this.#core.ownUpdate.state === "alive") {
      this.#handleEvent({ kind: "leave" });
    }
  }

  #undrain(nowMs: number): void {
    this.upstream.undrain(nowMs);
    if (this.#core.ownUpdate.state === "leaving") {
      this.#handleEvent({ kind: "cancelLeave" });
    }
  }

  #publishAttributes(attributes: UpstreamAttributes): void {
    this.#handleEvent({ kind: "placed", place: attributes });
    // Starts the history of the pool now instead of at the first keyed request.
    if (attributes.pool !== "") {
      this.directory.endpoints(attributes.pool);
    }
  }

  #registerHandlers(): void {
    const { transport } = this.#options;
    transport.serve(
      PROBE_METHOD,
      (request, from) =>
        new Promise<ProbeAnswer>((reply) =>
          this.#events.emit({ kind: "probeRequest", request, from, reply })
        ),
    );
    transport.serve(
      SYNC_METHOD,
      (request, from) =>
        new Promise<SyncAnswer>((reply) =>
          this.#events.emit({ kind: "syncRequest", request, from, reply })
        ),
    );
    transport.serve(PUSH_METHOD, (request, from) => {
      const fromId = from.instanceId;
      this.#events.emit({ kind: "pushed", request, fromId });
      return {};
    });
  }

  #handleEvent(event: MembershipEvent): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#perform(this.#core.handle(event, nowMs));
  }

  #perform(actions: readonly MembershipAction[]): void {
    this.directory.applyChanges(this.#core.takeChanges());
    for (const action of actions) {
      switch (action.kind) {
        case "probe":
          this.#sendProbe(action);
          break;
        case "push":
          this.#sendPush(action);
          break;
        case "sync":
          this.#sendSync(action);
          break;
      }
    }
  }

  #sendProbe(probe: ProbeAction): void {
    const sentMs = this.#options.clock.monotonicMs();
    const call = { method: PROBE_METHOD, body: probe.request };
    this.#options.transport
      .request(probe.address, call, { timeoutMs: PROBE_TIMEOUT_MS })
      .then((answer) =>
        this.#events.emit({ kind: "probeAnswered", probe, answer })
      )
      .catch((error: unknown) => {
        const failure = this.#classifyAndReport(error);
        this.#events.emit({ kind: "probeFailed", probe, failure, sentMs });
      });
  }

  #sendPush({ address, request }: PushAction): void {
    const call = { method: PUSH_METHOD, body: request };
    const push = this.#options.transport
      .request(address, call, { timeoutMs: PUSH_TIMEOUT_MS })
      // Lost floods are repaired after probes show differing digests.
      .then(() => {}, (error: unknown) => void this.#classifyAndReport(error))
      .finally(() => this.#pendingPushes.delete(push));
    this.#pendingPushes.add(push);
  }

  #sendSync({ address, request }: SyncAction): void {
    const call = { method: SYNC_METHOD, body: request };
    this.#options.transport
      .request(address, call, { timeoutMs: SYNC_TIMEOUT_MS })
      .then((answer) =>
        this.#events.emit({ kind: "syncAnswered", address, answer })
      )
      .catch((error: unknown) => {
        this.#classifyAndReport(error);
        this.#events.emit({ kind: "syncFailed", address });
      });
  }

  /**
   * Returns the kind of a peer's failure. Any other error is reported and counts
   * as `broken`.
   */
  #classifyAndReport(error: unknown): PeerFailure {
    if (error instanceof PeerError) {
      return error.failure;
    }
    this.#options.onError?.(error);
    return "broken";
  }
}
