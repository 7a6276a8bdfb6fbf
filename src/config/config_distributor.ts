/** Distributes the accepted configuration between daemons. */
import { mergeArray, type Stream } from "most";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import type { NeighbourSource, PeerTransport } from "../core/peer_transport.ts";
import type { PlatformClient } from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { ConfigHead } from "../schemas/config_schema.ts";
import { ConfigFetcher } from "./config_fetcher.ts";
import { readAccepted } from "./config_objects.ts";
import { applyAccepted } from "./config_reader.ts";
import { ConfigServer } from "./config_server.ts";
import type { AppliedChange, ConfigStore } from "./config_store.ts";
import { compareHeads } from "./generation_rule.ts";
import { FLOOD_METHOD } from "./config_methods.ts";

/** A peer to fetch from: its head and, where known, its address. */
export type FetchCandidate = {
  readonly head: ConfigHead;
  readonly address?: Address;
};

/** Events of the distributor. */
export type DistributorEvent =
  | { readonly kind: "tick" }
  /** A peer's answer (`answered`) or request (`behind`) has a newer head. */
  | ({ readonly kind: "answered" | "behind" } & FetchCandidate)
  /** The store applied a configuration. */
  | { readonly kind: "applied"; readonly change: AppliedChange }
  /** No peer supplied its configuration to a fetch. */
  | { readonly kind: "failed"; readonly attempt: number }
  /** A peer's head has the same generation with another digest. */
  | { readonly kind: "conflict"; head: ConfigHead; instanceId: string };

/** Options of {@link ConfigDistributor}. */
export type ConfigDistributorOptions = {
  store: ConfigStore;
  transport: PeerTransport;
  neighbours: NeighbourSource;
  /** Contact addresses of the settings. */
  contacts: readonly Address[];
  platform: PlatformClient;
  clock: Clock;
  random: RandomSource;
  /** Ticks; default one every 500 ms. */
  ticks?: Stream<unknown>;
};

const TICK_MS = 500;
const COMPARE_INTERVAL_MS = 2_000;
/** Time to wait for the answers of all asked peers. */
const ASK_WINDOW_MS = 1_000;
const FLOOD_TIMEOUT_MS = 1_000;
// The peer that reported the newer head and two others; when all fail, the next
// ask window or comparison tries again.
const FETCH_PEERS_MAX_COUNT = 3;

/**
 * Keeps the store of this daemon at the highest generation of its peers,
 * according to the chart `configuration`: floods steps to neighbours, compares
 * heads with one neighbour and one remote reader every 2 s, and fetches missed
 * generations.
 *
 * Wiring: construct a `ConfigStore` (it is the `ConfigSource` of the data
 * path), pass it here and to the readers and the acceptor, and register this
 * part with the `EventLoop`. The constructor registers the peer handlers. The
 * daemon is ready when `store.current()` is defined.
 *
 * @example
 * const store = new ConfigStore(clock);
 * loop.register(new ConfigDistributor({ store, transport, neighbours, contacts, platform, clock, random }));
 */
export class ConfigDistributor implements ControlPart<DistributorEvent> {
  static readonly #CHART = loadChart(
    "configuration",
    ConfigDistributor.prototype,
  );

  readonly name = "config distributor";
  readonly inputs: Stream<DistributorEvent>;
  readonly #options: ConfigDistributorOptions;
  readonly #machine: StateMachine;
  readonly #fetcher: ConfigFetcher;
  readonly #events = new EventSource<DistributorEvent>();
  #candidates: FetchCandidate[] = [];
  #askedMs: number | undefined;
  #pendingAsksCount = 0;
  #attempt = 0;
  #compareDueMs = 0;

  /**
   * @param options Store, peers, platform, clock and random numbers.
   */
  constructor(options: ConfigDistributorOptions) {
    const { store, transport, ticks = timerStream(TICK_MS) } = options;
    this.#options = options;
    this.#machine = new StateMachine(ConfigDistributor.#CHART, this);
    this.#fetcher = new ConfigFetcher(store, transport);
    this.#registerHandlers();
    this.inputs = mergeArray<DistributorEvent>([
      ticks.map(() => ({ kind: "tick" })),
      store.changes.map((change) => ({ kind: "applied", change })),
      this.#events.stream,
    ]);
  }

  /** State of the chart `configuration`. */
  get state(): string {
    return this.#machine.state;
  }

  /** @inheritdoc */
  handle(event: DistributorEvent): void {
    if (event.kind === "conflict") {
      const { generation } = event.head;
      throw new Error(
        `Instance "${event.instanceId}" has another content of generation ${generation}`,
      );
    }
    if (event.kind === "failed" && event.attempt !== this.#attempt) {
      return;
    }
    this.#machine.send(event.kind, event);
    if (event.kind === "applied") {
      this.#flood(event.change);
    }
  }

  /**
   * Guard: a peer has a configuration, and the wait for further answers is over:
   * either none is pending or the ask window has passed.
   */
  hasCandidate(): boolean {
    const waiting = this.#pendingAsksCount > 0 && !this.#hasAskWindowElapsed();
    return this.#candidates.length > 0 && !waiting;
  }

  /** Guard: peers were asked, and the time to wait for their answers is over. */
  isAskWindowOver(): boolean {
    return this.#askedMs !== undefined && this.#hasAskWindowElapsed();
  }

  /** Guard: no peer was asked since the start or the last failed fetch. */
  isFirstAsk(): boolean {
    return this.#askedMs === undefined;
  }

  /** Guard: the interval between comparisons has passed. */
  isCompareDue(): boolean {
    return this.#nowMs() >= this.#compareDueMs;
  }

  /** Guard: a peer's head is newer than the one in force. */
  isNewer({ head }: FetchCandidate): boolean {
    return compareHeads(this.#options.store.head(), head) === "newer";
  }

  /** Action: asks all neighbours and contacts for their heads. */
  askPeers(): void {
    const addresses = this.#knownAddresses();
    this.#askedMs = this.#nowMs();
    this.#pendingAsksCount = addresses.length;
    for (const address of addresses) {
      this.#compare(address).finally(() => this.#pendingAsksCount--);
    }
  }

  /**
   * Action: reads the accepted configuration from the platform with a
   * probability of 1 / (1 + known peers). Of k peers that all lack a
   * configuration, about one reads it, so that a restarted data centre does not
   * overload the platform.
   */
  askPlatform(): void {
    const { store, platform, random } = this.#options;
    if (random.nextInt(this.#knownAddresses().length + 1) !== 0) {
      return;
    }
    readAccepted(platform)
      .then((accepted) =>
        accepted && applyAccepted(accepted.value, store, platform)
      )
      .catch(() => {}); // The next ask window or comparison may retry the read.
  }

  /** Action: adds a peer to fetch from; keeps the three with the highest generations. */
  addCandidate({ head, address }: FetchCandidate): void {
    this.#candidates = [...this.#candidates, { head, address }]
      .sort((a, b) => b.head.generation - a.head.generation)
      .slice(0, FETCH_PEERS_MAX_COUNT);
  }

  /** Action: removes all candidates and resets the ask window. */
  clearCandidates(): void {
    this.#candidates = [];
    this.#askedMs = undefined;
  }

  /** Action: fetches from the candidates, then from other neighbours and contacts. */
  startFetch(): void {
    const attempt = ++this.#attempt;
    const known = this.#candidates.flatMap(({ address }) => address ?? []);
    const addresses = distinctAddresses([...known, ...this.#knownAddresses()])
      .slice(0, FETCH_PEERS_MAX_COUNT);
    this.#fetcher.fetch(addresses).then((fetched) => {
      if (!fetched) {
        this.#events.emit({ kind: "failed", attempt });
      }
    });
  }

  /**
   * Action: compares heads with one neighbour and one remote reader. A daemon
   * without neighbours asks a contact; one without any peer reads the platform.
   */
  comparePeers(): void {
    this.#compareDueMs = this.#nowMs() + COMPARE_INTERVAL_MS;
    const { neighbours, contacts } = this.#options;
    const nearby = neighbours.neighbours().map(({ address }) => address);
    const remote = neighbours.remoteReaders().map(({ address }) => address);
    const chosen = [
      this.#chooseRandom(nearby.length > 0 ? nearby : contacts),
      this.#chooseRandom(remote),
    ].filter((address) => address !== undefined);
    if (chosen.length === 0) {
      this.askPlatform();
    }
    chosen.forEach((address) => this.#compare(address));
  }

  #registerHandlers(): void {
    const { store, transport } = this.#options;
    new ConfigServer(store, (relation, head, { instanceId }) => {
      if (relation === "conflicting") {
        this.#events.emit({ kind: "conflict", head, instanceId });
      }
      if (relation === "newer") {
        const address = this.#findAddress(instanceId);
        this.#events.emit({
          kind: "behind",
          head,
          ...(address && { address }),
        });
      }
    }).register(transport);
  }

  async #compare(address: Address): Promise<void> {
    try {
      const { head } = await this.#fetcher.compare(address);
      this.#emitIfNewer(head, address);
    } catch {
      // Membership detects failed peers; the next comparison chooses again.
    }
  }

  #emitIfNewer(head: ConfigHead | undefined, address: Address): void {
    if (head !== undefined && this.isNewer({ head })) {
      this.#events.emit({ kind: "answered", head, address });
    }
  }

  #flood({ step, origin }: AppliedChange): void {
    const receivers = this.#options.neighbours.neighbours()
      .filter(({ identity }) => identity.instanceId !== origin.instanceId);
    for (const { address } of receivers) {
      step === undefined
        ? this.#sendHead(address)
        : this.#sendStep(address, step);
    }
  }

  /** Compares heads, so that a neighbour that is behind fetches from this daemon. */
  #sendHead(address: Address): void {
    this.#compare(address);
  }

  async #sendStep(
    address: Address,
    step: NonNullable<AppliedChange["step"]>,
  ): Promise<void> {
    try {
      const { head } = await this.#options.transport.request(
        address,
        { method: FLOOD_METHOD, body: step },
        { timeoutMs: FLOOD_TIMEOUT_MS },
      );
      this.#emitIfNewer(head, address);
    } catch {
      // The neighbour's next comparison repairs a lost flood.
    }
  }

  #hasAskWindowElapsed(): boolean {
    return this.#nowMs() >= (this.#askedMs ?? Infinity) + ASK_WINDOW_MS;
  }

  #chooseRandom(addresses: readonly Address[]): Address | undefined {
    return addresses.length === 0
      ? undefined
      : addresses[this.#options.random.nextInt(addresses.length)];
  }

  #knownAddresses(): Address[] {
    const { neighbours, contacts } = this.#options;
    const peers = neighbours.neighbours().map(({ address }) => address);
    return distinctAddresses([...peers, ...contacts]);
  }

  #findAddress(instanceId: string): Address | undefined {
    const { neighbours } = this.#options;
    return [...neighbours.neighbours(), ...neighbours.remoteReaders()]
      .find(({ identity }) => identity.instanceId === instanceId)?.address;
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }
}

function distinctAddresses(addresses: readonly Address[]): Address[] {
  const byText = new Map(
    addresses.map((address) => [`${address.host}:${address.port}`, address]),
  );
  return [...byText.values()];
}
