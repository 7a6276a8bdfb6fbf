/**
 * Daemons that check keys, with a store and links between them, on a virtual
 * clock. Each daemon has clocks of its own and can be cut off, paused, suspended
 * and restarted.
 */
import { empty } from "most";
import { ManualClock } from "../core/clock.ts";
import { PlatformError, type StoredObject } from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import {
  type Instant,
  readInstant,
} from "../decisions/tenants/elapsed_clock.ts";
import { Authenticator } from "../fleet/authenticator.ts";
import { ConfigFollower } from "../fleet/config_follower.ts";
import { type AskedPeer, CurrencyTracker } from "../fleet/currency_tracker.ts";
import type { FleetConfig, FleetRoute } from "../schemas/fleet_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";

/** Step of the virtual clock. */
export const STEP_MS = 50;
/** Bound of withdrawn keys. */
export const REVOCATION_MAX_MS = 5_000;
const WATCH_MS = 1_200;
const TICK_MS = 100;
const LOG = new NullLogger();
const LIMITS: FleetConfig["limits"] = {
  headerMaxBytes: 1,
  bodyMaxBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};
const ROUTE = { name: "r", priority: 0, isPublic: false } as FleetRoute;

/** Tenant of each key in one configuration. */
export type KeyTable = Readonly<Record<string, string>>;

/** What a daemon answers to a request with a key: its tenant or the refusal. */
export type KeyAnswer = { tenantName?: string; refusal?: string };

function createConfig(version: number, keys: KeyTable): FleetConfig {
  const tenants = [...new Set(Object.values(keys))].map((name) => ({
    name,
    keys: Object.keys(keys).filter((key) => keys[key] === name),
    ratePerS: 0,
    burstCount: 0,
  }));
  return { version, routes: [], pools: [], tenants, limits: LIMITS };
}

/** One daemon. */
export class SimulatedKeyDaemon {
  readonly name: string;
  readonly clock = new ManualClock(1_000_000);
  readonly #fleet: CurrencyFleet;
  /** Whether the store answers it. */
  hasStore = true;
  /** Whether it watches the store closely. */
  isWatcher = false;
  /** Whether its process or machine stands still. */
  isStopped = false;
  /** Whether its monotonic clock stands still with it. */
  isSuspended = false;
  follower!: ConfigFollower;
  tracker!: CurrencyTracker;
  #authenticator!: Authenticator;
  #watchSent: Instant | undefined;
  #watchEndsAtMs = 0;
  /** Messages that arrive while it stands still. */
  readonly #inbox: (() => void)[] = [];

  constructor(name: string, fleet: CurrencyFleet) {
    this.name = name;
    this.#fleet = fleet;
    this.restart();
  }

  /** Replaces the process; the new one lists the configuration. */
  restart(): void {
    const config = new ConfigFollower({
      objects: empty(),
      objectName: "main",
      decode: (value) => value as FleetConfig,
      log: LOG,
      onApplied: () => {},
    });
    this.follower = config;
    this.tracker = new CurrencyTracker({
      clock: this.clock,
      config,
      configReads: empty(),
      readConfig: () => this.#fleet.read(this),
      revocationMaxMs: REVOCATION_MAX_MS,
      ownDataCentre: "a",
      peers: () => this.#fleet.peersOf(this),
      isWatching: () => this.isWatching,
      log: LOG,
    });
    this.#authenticator = new Authenticator({
      names: { tenant: "tenant" },
      config,
      revocationMaxMs: REVOCATION_MAX_MS,
      currencyAgeMs: () => this.tracker.ageMs,
      onRefused: () => {},
    });
    this.#watchSent = undefined;
    const { tracker } = this;
    const sent = readInstant(this.clock);
    this.#fleet.read(this).then((object) => {
      config.handle(object);
      tracker.handle(sent);
    }, () => {});
  }

  get isWatching(): boolean {
    return this.isWatcher && this.hasStore;
  }

  /** Handles a message now, or when the process goes on. */
  receive(handle: () => void): void {
    if (this.isStopped) {
      this.#inbox.push(handle);
    } else {
      handle();
    }
  }

  /** Sends a request with a key. */
  ask(key: string): KeyAnswer {
    if (this.follower.routes === undefined) {
      return { refusal: "not_ready" };
    }
    return this.#authenticator.authenticate({
      route: ROUTE,
      key,
      parent: undefined,
      mayBeCall: false,
      hasCallId: false,
    });
  }

  /** Advances the clocks and does what is due. */
  step(nowMs: number): void {
    if (this.isSuspended) {
      this.clock.jumpWall(STEP_MS);
    } else {
      this.clock.advance(STEP_MS);
    }
    if (this.isStopped) {
      return;
    }
    this.#inbox.splice(0).forEach((handle) => handle());
    this.#watch(nowMs);
    if (nowMs % TICK_MS === 0) {
      this.tracker.tick();
    }
  }

  /** A close watch: it ends with a change, or after its wait. */
  #watch(nowMs: number): void {
    if (!this.isWatching) {
      this.#watchSent = undefined;
      return;
    }
    const object = this.#fleet.object;
    const hasChanged = object.version > this.follower.version;
    if (
      this.#watchSent !== undefined &&
      (hasChanged || nowMs >= this.#watchEndsAtMs)
    ) {
      this.follower.handle(object);
      this.tracker.handle(this.#watchSent);
      this.#watchSent = undefined;
    }
    if (this.#watchSent === undefined) {
      this.#watchSent = readInstant(this.clock);
      this.#watchEndsAtMs = nowMs + WATCH_MS;
    }
  }
}

/** Daemons with a store. */
export class CurrencyFleet {
  readonly daemons: SimulatedKeyDaemon[] = [];
  readonly #random: RandomSource;
  /** Longest delay of a message or an answer of the store, in ms. */
  delayMaxMs = 100;
  /** Calls to the store for the currency. */
  readsCount = 0;
  nowMs = 0;
  #object: StoredObject;
  /** Accepted configurations and the times of their acceptance. */
  readonly history: { atMs: number; keys: KeyTable }[] = [];
  readonly #cutLinks = new Set<string>();
  #messages: { atMs: number; deliver: () => void }[] = [];

  constructor(daemonsCount: number, random: RandomSource, keys: KeyTable) {
    this.#random = random;
    this.#object = this.accept(keys);
    for (let index = 0; index < daemonsCount; index++) {
      this.daemons.push(new SimulatedKeyDaemon(`d-${index}`, this));
    }
  }

  /** The configuration in the store. */
  get object(): StoredObject {
    return this.#object;
  }

  /** Lets the store accept a configuration. */
  accept(keys: KeyTable): StoredObject {
    this.history.push({ atMs: this.nowMs, keys });
    const version = this.history.length;
    const value = createConfig(version, keys);
    this.#object = { kind: "config", name: "main", version, value };
    return this.#object;
  }

  /** Cuts or restores the link between two daemons. */
  setLink(one: string, two: string, isUp: boolean): void {
    for (const link of [`${one} ${two}`, `${two} ${one}`]) {
      if (isUp) {
        this.#cutLinks.delete(link);
      } else {
        this.#cutLinks.add(link);
      }
    }
  }

  /** Reads the store as one daemon. */
  read(daemon: SimulatedKeyDaemon): Promise<StoredObject> {
    this.readsCount++;
    return new Promise((resolve, reject) =>
      this.#after(() => {
        const object = this.#object;
        const { hasStore } = daemon;
        this.#after(() =>
          daemon.receive(() =>
            hasStore && daemon.hasStore
              ? resolve(object)
              : reject(new PlatformError("unknown", "No answer"))
          )
        );
      })
    );
  }

  /** Links of a daemon to all others. */
  peersOf(daemon: SimulatedKeyDaemon): AskedPeer[] {
    return this.daemons.filter((peer) => peer !== daemon).map((peer) => ({
      member: { name: peer.name, dataCentre: "a" },
      state: { isWatching: peer.isWatching },
      isUp: true,
      queryCurrency: (number) => this.#query(daemon, peer, number),
    }));
  }

  /** Advances all daemons. */
  async run(durationMs: number, onStep = () => {}): Promise<void> {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS;
      const due = this.#messages.filter(({ atMs }) => atMs <= this.nowMs);
      this.#messages = this.#messages.filter(({ atMs }) => atMs > this.nowMs);
      due.forEach(({ deliver }) => deliver());
      this.daemons.forEach((daemon) => daemon.step(this.nowMs));
      // Lets the promises of answered reads continue.
      await new Promise((resolve) => setImmediate(resolve));
      onStep();
    }
  }

  #query(
    daemon: SimulatedKeyDaemon,
    peer: SimulatedKeyDaemon,
    number: number,
  ): void {
    const { tracker } = daemon;
    this.#send(daemon, peer, () => {
      const { follower } = peer;
      const { version } = follower;
      const { ageMs: exactAgeMs } = peer.tracker;
      const ageMs = Number.isFinite(exactAgeMs) ? exactAgeMs : null;
      const config = follower.routes?.config;
      this.#send(peer, daemon, () => {
        tracker.onAnswer({ number, version, ageMs }, peer.name);
        // The daemon asks for a newer version, which arrives later.
        if (version > daemon.follower.version) {
          this.#after(() =>
            daemon.receive(() => daemon.follower.applyFromPeer(config))
          );
        }
      });
    });
  }

  #send(
    from: SimulatedKeyDaemon,
    to: SimulatedKeyDaemon,
    handle: () => void,
  ): void {
    const link = `${from.name} ${to.name}`;
    this.#after(() => {
      if (!this.#cutLinks.has(link)) {
        to.receive(handle);
      }
    });
  }

  #after(deliver: () => void): void {
    const delayMs = this.delayMaxMs * this.#random.nextFloat();
    this.#messages.push({ atMs: this.nowMs + delayMs, deliver });
  }
}
