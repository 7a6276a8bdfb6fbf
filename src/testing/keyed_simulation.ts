/**
 * Simulation of keyed requests on a virtual clock, while their owners are
 * killed, frozen and cut off.
 */
import { v7 as createUuid } from "uuid";
import { type RandomSource, SeededRandom } from "../core/random.ts";
import type { IdempotencyLedger } from "../decisions/keys/idempotency_ledger.ts";
import {
  chooseByRendezvous,
  type OwnerHistory,
  type OwnerList,
} from "../decisions/keys/key_owner.ts";
import {
  KeyedAdmission,
  type KeyedContext,
  type KeyedRequest,
} from "../decisions/keys/keyed_admission.ts";
import { MemoryLedger } from "../decisions/keys/memory_ledger.ts";
import type { PeerConnectivity } from "../decisions/selection/upstream_directory.ts";
import type {
  KeyedSimulationResult,
  KeyedSimulationRules,
} from "./keyed_simulation_result.ts";
import { LaggedOwners } from "./lagged_owners.ts";
import { VirtualTimeScheduler } from "./virtual_time_scheduler.ts";

/** Options of {@link KeyedSimulation}. */
export type KeyedSimulationOptions = {
  seed: number;
  keysCount: number;
  rules: KeyedSimulationRules;
};

const KEY_INTERVAL_MS = 60;
const FAILURE_INTERVAL_MS = 6_000;
/** One attempt in this many is routed with a view from before a freeze or cut. */
const ATTEMPTS_PER_STALE_VIEW = 4;
const ATTEMPT_SPREAD_MS = 30_000;
const NETWORK_DELAY_MAX_MS = 5_000;
const QUEUE_MAX_MS = 500;
const WORK_MAX_MS = 3_000;
const CONFIRMED_DEAD_AFTER_MS = 6_000;
const HANDOVER_MS = 10_000;
const VIEW_LAG_MAX_MS = 900;
const CLIENT_SKEW_MAX_MS = 1_000;
const PROBE_INTERVAL_MS = 1_000;
const INSTANCES_COUNT = 5;
const START_EPOCH_MS = 1_700_000_000_000;
const POOL = "plates";
const DATA_CENTRE = "quimper-a";
const KEY_RULES = { keyRetentionMs: 600_000, clockSkewMaxMs: 2_000 };
const LEDGER_LIMITS = { entriesMaxCount: 100_000, answersMaxBytes: 1_000_000 };

type Instance = {
  readonly id: string;
  readonly phaseMs: number;
  startedMs: number;
  /**
   * A `cut` instance gets requests, but no answers to its probes and no changes
   * of the members.
   */
  state: "running" | "frozen" | "cut";
  /**
   * Virtual time at which the instance stopped learning of changes of the
   * members, in ms; undefined while it learns of them.
   */
  viewStoppedMs: number | undefined;
  /** Time since which no peer has held the instance suspect or dead, in ms. */
  acceptedSinceMs: number;
  lastAckMs: number;
  /** Actions that run at the end of a freeze. */
  deferredActions: (() => void)[];
  admission: KeyedAdmission;
  ledger: IdempotencyLedger;
  /** Virtual start time, in ms; differs after a kill. */
  incarnation: number;
};

/**
 * Simulates one pool in one data centre whose owners are killed, frozen and cut
 * off while callers retry requests through daemons with lagging views.
 *
 * @example
 * new KeyedSimulation({ seed: 1, keysCount: 10_000, rules }).run().repeatedCount; // 0
 */
export class KeyedSimulation {
  readonly #options: KeyedSimulationOptions;
  readonly #random: RandomSource;
  readonly #scheduler = new VirtualTimeScheduler();
  readonly #periods: OwnerList[] = [];
  readonly #ineligible = new Set<string>();
  readonly #instances: Instance[] = [];
  readonly #effects = new Map<string, number>();
  readonly #counts = { attempts: 0, kill: 0, freeze: 0, cut: 0, replayed: 0 };

  /**
   * @param options Seed, number of keys and rules in force.
   */
  constructor(options: KeyedSimulationOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (let index = 0; index < INSTANCES_COUNT; index++) {
      this.#instances.push(this.#createInstance(`plates-${index}`));
    }
    this.#startPeriod();
  }

  /**
   * Sends the requests of all keys, with their retries.
   *
   * @returns Counts of the run.
   */
  run(): KeyedSimulationResult {
    const { keysCount } = this.#options;
    const keysMs = keysCount * KEY_INTERVAL_MS;
    for (let index = 0; index < keysCount; index++) {
      const delayMs = HANDOVER_MS + index * KEY_INTERVAL_MS;
      this.#scheduler.after(delayMs, () => this.#sendKey());
    }
    for (let atMs = HANDOVER_MS; atMs < keysMs; atMs += FAILURE_INTERVAL_MS) {
      this.#scheduler.after(atMs, () => this.#injectFailure());
    }
    this.#probe();
    this.#scheduler.run(keysMs + 3 * ATTEMPT_SPREAD_MS);
    const counts = [...this.#effects.values()];
    return {
      keysCount,
      attemptsCount: this.#counts.attempts,
      killsCount: this.#counts.kill,
      freezesCount: this.#counts.freeze,
      cutsCount: this.#counts.cut,
      onceCount: counts.filter((count) => count === 1).length,
      repeatedCount: counts.filter((count) => count > 1).length,
      replayedCount: this.#counts.replayed,
    };
  }

  #nowEpochMs(): number {
    return START_EPOCH_MS + this.#scheduler.nowMs;
  }

  #createInstance(id: string): Instance {
    const ledger = new MemoryLedger(LEDGER_LIMITS);
    const startedMs = this.#scheduler.nowMs;
    const instance: Instance = {
      id,
      phaseMs: this.#random.nextInt(PROBE_INTERVAL_MS),
      startedMs,
      state: "running",
      viewStoppedMs: undefined,
      acceptedSinceMs: startedMs,
      lastAckMs: startedMs,
      deferredActions: [],
      ledger,
      incarnation: startedMs,
      admission: this.#createAdmission(id, ledger, {
        viewMs: () => instance.viewStoppedMs ?? this.#scheduler.nowMs,
      }),
    };
    return instance;
  }

  #createAdmission(
    id: string,
    ledger: IdempotencyLedger,
    { viewMs }: { viewMs: () => number },
  ): KeyedAdmission {
    const lagMs = this.#random.nextInt(VIEW_LAG_MAX_MS);
    const history = new LaggedOwners(this.#periods, lagMs, {
      nowEpochMs: () => START_EPOCH_MS + viewMs(),
    });
    const alwaysOwner: OwnerHistory = {
      lists: () => [{
        sinceEpochMs: 0,
        dataCentres: [DATA_CENTRE],
        instanceIds: [id],
      }],
    };
    const { ownership } = this.#options.rules;
    return new KeyedAdmission(ownership ? history : alwaysOwner, ledger, {
      instanceId: id,
      dataCentre: DATA_CENTRE,
      startedEpochMs: ownership ? this.#nowEpochMs() : 0,
      startedMs: ownership ? this.#scheduler.nowMs : -Infinity,
    });
  }

  #startPeriod(): void {
    this.#periods.push({
      sinceEpochMs: this.#periods.length === 0 ? 0 : this.#nowEpochMs(),
      dataCentres: [DATA_CENTRE],
      instanceIds: this.#instances.map(({ id }) => id)
        .filter((id) => !this.#ineligible.has(id)),
    });
  }

  #setEligible(id: string, eligible: boolean): void {
    if (eligible) {
      this.#ineligible.delete(id);
    } else {
      this.#ineligible.add(id);
    }
    this.#startPeriod();
  }

  #probe(): void {
    for (const instance of this.#instances) {
      if (instance.state === "running") {
        instance.lastAckMs = this.#scheduler.nowMs;
        instance.viewStoppedMs = undefined;
      }
      // Without the rule `fence`, frozen instances are checked as well, so that
      // no gap between two checks reveals the freeze.
      if (instance.state !== "frozen" || !this.#options.rules.fence) {
        this.#checkFence(instance);
      }
    }
    this.#scheduler.after(PROBE_INTERVAL_MS, () => this.#probe());
  }

  #checkFence(instance: Instance): void {
    instance.admission.checkFence(
      this.#connectivityOf(instance),
      this.#scheduler.nowMs,
    );
  }

  #connectivityOf(instance: Instance): PeerConnectivity {
    const { nowMs } = this.#scheduler;
    return this.#options.rules.fence
      ? { ...instance, knownPeersCount: INSTANCES_COUNT - 1 }
      : { knownPeersCount: 0, lastAckMs: nowMs, acceptedSinceMs: 0 };
  }

  #injectFailure(): void {
    const instance = this.#instances[this.#random.nextInt(INSTANCES_COUNT)];
    if (instance === undefined || instance.state !== "running") {
      return;
    }
    const kind = (["kill", "freeze", "cut"] as const)[this.#random.nextInt(3)];
    if (kind === "kill") {
      this.#kill(instance);
      return;
    }
    this.#freezeOrCut(instance, kind === "freeze" ? "frozen" : "cut");
  }

  #kill(instance: Instance): void {
    this.#counts.kill++;
    Object.assign(instance, this.#createInstance(instance.id));
    // Peers confirm an instance dead as soon as a connection to it is refused.
    this.#setEligible(instance.id, false);
    const { incarnation } = instance;
    this.#scheduler.after(HANDOVER_MS, () => {
      if (
        instance.incarnation === incarnation && instance.state === "running"
      ) {
        this.#setEligible(instance.id, true);
      }
    });
  }

  #freezeOrCut(instance: Instance, state: "frozen" | "cut"): void {
    this.#counts[state === "frozen" ? "freeze" : "cut"]++;
    instance.state = state;
    instance.viewStoppedMs = this.#scheduler.nowMs;
    const durationMs = 1_000 + this.#random.nextInt(30_000);
    const dead = durationMs > CONFIRMED_DEAD_AFTER_MS;
    if (durationMs > CONFIRMED_DEAD_AFTER_MS + HANDOVER_MS) {
      this.#scheduler.after(
        CONFIRMED_DEAD_AFTER_MS + HANDOVER_MS,
        () => this.#setEligible(instance.id, false),
      );
    }
    this.#scheduler.after(durationMs, () => this.#restore(instance, dead));
  }

  #restore(instance: Instance, wasDead: boolean): void {
    instance.state = "running";
    const { deferredActions } = instance;
    instance.deferredActions = [];
    deferredActions.forEach((action) => action());
    if (wasDead) {
      instance.acceptedSinceMs = this.#scheduler.nowMs;
    }
    if (this.#ineligible.has(instance.id)) {
      this.#scheduler.after(HANDOVER_MS, () => {
        if (instance.state === "running") {
          this.#setEligible(instance.id, true);
        }
      });
    }
  }

  /** Sends a request with a new key and retries it one to three times. */
  #sendKey(): void {
    const skewMs = this.#random.nextInt(2 * CLIENT_SKEW_MAX_MS) -
      CLIENT_SKEW_MAX_MS;
    const random = Uint8Array.from(
      { length: 16 },
      () => this.#random.nextInt(256),
    );
    const key = createUuid({ msecs: this.#nowEpochMs() + skewMs, random });
    this.#attempt(key);
    const retriesCount = 1 + this.#random.nextInt(3);
    for (let index = 0; index < retriesCount; index++) {
      const delayMs = this.#random.nextInt(ATTEMPT_SPREAD_MS);
      this.#scheduler.after(delayMs, () => this.#attempt(key));
    }
  }

  /** Sends an attempt to the owner that a daemon with a lagging view chooses. */
  #attempt(key: string): void {
    this.#counts.attempts++;
    const lagMs = this.#random.nextInt(VIEW_LAG_MAX_MS);
    const viewMs = this.#chooseViewMs();
    const period = this.#periods.findLast((one) =>
      one.sinceEpochMs + lagMs <= START_EPOCH_MS + viewMs
    );
    const owner = chooseByRendezvous(key, period?.instanceIds ?? []);
    const instance = this.#instances.find(({ id }) => id === owner);
    if (instance === undefined) {
      return;
    }
    const { incarnation } = instance;
    const networkDelayMs = this.#random.nextInt(NETWORK_DELAY_MAX_MS);
    this.#scheduler.after(networkDelayMs, () => {
      if (instance.incarnation === incarnation) {
        this.#runOnInstance(instance, () => this.#handleRequest(instance, key));
      }
    });
  }

  /**
   * Chooses the time of the routing daemon's view; a stale view is that of the
   * time at which an instance was frozen or cut off.
   */
  #chooseViewMs(): number {
    const disconnected = this.#instances.find((one) =>
      one.viewStoppedMs !== undefined
    );
    const stale = this.#random.nextInt(ATTEMPTS_PER_STALE_VIEW) === 0;
    return (stale ? disconnected?.viewStoppedMs : undefined) ??
      this.#scheduler.nowMs;
  }

  /** Runs an action at once or, on a frozen instance, at the end of the freeze. */
  #runOnInstance(instance: Instance, action: () => void): void {
    const { incarnation } = instance;
    if (instance.state === "frozen") {
      instance.deferredActions.push(() => {
        if (instance.incarnation === incarnation) {
          action();
        }
      });
      return;
    }
    action();
  }

  #contextOf(instance: Instance): KeyedContext {
    return {
      rules: KEY_RULES,
      peerConnectivity: this.#connectivityOf(instance),
      nowMs: this.#scheduler.nowMs,
      nowEpochMs: this.#nowEpochMs(),
    };
  }

  #handleRequest(instance: Instance, key: string): void {
    const request = {
      pool: POOL,
      tenant: "default",
      key,
      requestDigest: "POST /plates 10",
    };
    const decision = instance.admission.begin(
      request,
      this.#contextOf(instance),
    );
    if (decision.kind === "replay") {
      this.#counts.replayed++;
    }
    if (decision.kind !== "run") {
      return;
    }
    const { incarnation } = instance;
    this.#scheduler.after(this.#random.nextInt(QUEUE_MAX_MS), () => {
      if (instance.incarnation === incarnation) {
        this.#runOnInstance(
          instance,
          () => this.#forward(instance, request, decision.reservation),
        );
      }
    });
  }

  #forward(
    instance: Instance,
    request: KeyedRequest,
    reservation: Parameters<IdempotencyLedger["forget"]>[0],
  ): void {
    const { ledger, admission, incarnation } = instance;
    const refusal = this.#options.rules.recheck
      ? admission.recheck(request, this.#contextOf(instance))
      : undefined;
    if (refusal !== undefined) {
      ledger.forget(reservation);
      return;
    }
    const { key } = request;
    this.#effects.set(key, (this.#effects.get(key) ?? 0) + 1);
    this.#scheduler.after(this.#random.nextInt(WORK_MAX_MS), () => {
      if (instance.incarnation === incarnation) {
        ledger.settle(reservation, {
          kind: "complete",
          answer: { status: 200, headers: [], body: Buffer.from("done") },
        });
      }
    });
  }
}
