/** Keyed requests under kills, freezes and cuts, under a virtual clock. */
import { v7 as createUuid } from "uuid";
import { type RandomSource, SeededRandom } from "../core/random.ts";
import type { IdempotencyLedger } from "../decisions/idempotency_ledger.ts";
import {
  chooseByRendezvous,
  type OwnerHistory,
  type OwnerList,
} from "../decisions/key_owner.ts";
import {
  KeyedAdmission,
  type KeyedContext,
  type KeyedRequest,
} from "../decisions/keyed_admission.ts";
import { MemoryLedger } from "../decisions/memory_ledger.ts";
import type { PeerConnectivity } from "../decisions/upstream_directory.ts";
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
/** One attempt in this many comes through a daemon that sees a lost owner. */
const STALE_ATTEMPTS_IN = 4;
const ATTEMPT_SPREAD_MS = 30_000;
const FLIGHT_MAX_MS = 5_000;
const QUEUE_MAX_MS = 500;
const WORK_MAX_MS = 3_000;
const DEATH_AFTER_MS = 6_000;
const HANDOVER_MS = 10_000;
const VIEW_LAG_MAX_MS = 900;
const CLIENT_SKEW_MAX_MS = 1_000;
const PROBE_INTERVAL_MS = 1_000;
const INSTANCES_COUNT = 5;
const START_EPOCH_MS = 1_700_000_000_000;
const POOL = "plates";
const DATA_CENTRE = "quimper-a";
const RULES = { keyRetentionMs: 600_000, clockSkewMaxMs: 2_000 };
const LEDGER_LIMITS = { entriesMaxCount: 100_000, answersMaxBytes: 1_000_000 };

type Instance = {
  readonly id: string;
  readonly phaseMs: number;
  startedMs: number;
  state: "running" | "frozen" | "cut";
  /** Time at which the view of the members stopped; undefined when it is fresh. */
  viewStoppedMs: number | undefined;
  /** Time since which no peer doubted the instance, in ms. */
  acceptedSinceMs: number;
  lastAckMs: number;
  /** Work that waits for the end of a freeze. */
  inbox: (() => void)[];
  admission: KeyedAdmission;
  ledger: IdempotencyLedger;
  generation: number;
};

/**
 * One pool in one data centre whose owners are killed, frozen and cut off
 * while callers repeat keys through daemons with lagging views.
 *
 * @example
 * new KeyedSimulation({ seed: 1, keysCount: 10_000, rules }).run().repeatedCount; // 0
 */
export class KeyedSimulation {
  readonly #options: KeyedSimulationOptions;
  readonly #random: RandomSource;
  readonly #time = new VirtualTimeScheduler();
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
   * Runs all keys with their repeats.
   *
   * @returns Figures of the run.
   */
  run(): KeyedSimulationResult {
    const { keysCount } = this.#options;
    const keysMs = keysCount * KEY_INTERVAL_MS;
    for (let index = 0; index < keysCount; index++) {
      const delayMs = HANDOVER_MS + index * KEY_INTERVAL_MS;
      this.#time.after(delayMs, () => this.#startKey());
    }
    for (let atMs = HANDOVER_MS; atMs < keysMs; atMs += FAILURE_INTERVAL_MS) {
      this.#time.after(atMs, () => this.#fail());
    }
    this.#probe();
    this.#time.run(keysMs + 3 * ATTEMPT_SPREAD_MS);
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
    return START_EPOCH_MS + this.#time.nowMs;
  }

  #createInstance(id: string): Instance {
    const ledger = new MemoryLedger(LEDGER_LIMITS);
    const startedMs = this.#time.nowMs;
    const instance: Instance = {
      id,
      phaseMs: this.#random.nextInt(PROBE_INTERVAL_MS),
      startedMs,
      state: "running",
      viewStoppedMs: undefined,
      acceptedSinceMs: startedMs,
      lastAckMs: startedMs,
      inbox: [],
      ledger,
      generation: startedMs,
      admission: this.#createAdmission(id, ledger, {
        viewMs: () => instance.viewStoppedMs ?? this.#time.nowMs,
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
      startedMs: ownership ? this.#time.nowMs : -Infinity,
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
        instance.lastAckMs = this.#time.nowMs;
        instance.viewStoppedMs = undefined;
      }
      // Without the fence, not even the gap of a freeze is noticed.
      if (instance.state !== "frozen" || !this.#options.rules.fence) {
        this.#look(instance);
      }
    }
    this.#time.after(PROBE_INTERVAL_MS, () => this.#probe());
  }

  #look(instance: Instance): void {
    instance.admission.checkFence(this.#standing(instance), this.#time.nowMs);
  }

  #standing(instance: Instance): PeerConnectivity {
    const { nowMs } = this.#time;
    return this.#options.rules.fence
      ? { ...instance, knownPeersCount: INSTANCES_COUNT - 1 }
      : { knownPeersCount: 0, lastAckMs: nowMs, acceptedSinceMs: 0 };
  }

  #fail(): void {
    const instance = this.#instances[this.#random.nextInt(INSTANCES_COUNT)];
    if (instance === undefined || instance.state !== "running") {
      return;
    }
    const kind = (["kill", "freeze", "cut"] as const)[this.#random.nextInt(3)];
    if (kind === "kill") {
      this.#kill(instance);
      return;
    }
    this.#suspend(instance, kind === "freeze" ? "frozen" : "cut");
  }

  #kill(instance: Instance): void {
    this.#counts.kill++;
    Object.assign(instance, this.#createInstance(instance.id));
    // A refused connection confirms the loss at once.
    this.#setEligible(instance.id, false);
    const { generation } = instance;
    this.#time.after(HANDOVER_MS, () => {
      if (instance.generation === generation && instance.state === "running") {
        this.#setEligible(instance.id, true);
      }
    });
  }

  #suspend(instance: Instance, state: "frozen" | "cut"): void {
    this.#counts[state === "frozen" ? "freeze" : "cut"]++;
    instance.state = state;
    instance.viewStoppedMs = this.#time.nowMs;
    const durationMs = 1_000 + this.#random.nextInt(30_000);
    const dead = durationMs > DEATH_AFTER_MS;
    if (durationMs > DEATH_AFTER_MS + HANDOVER_MS) {
      this.#time.after(
        DEATH_AFTER_MS + HANDOVER_MS,
        () => this.#setEligible(instance.id, false),
      );
    }
    this.#time.after(durationMs, () => this.#restore(instance, dead));
  }

  #restore(instance: Instance, wasDead: boolean): void {
    instance.state = "running";
    const { inbox } = instance;
    instance.inbox = [];
    inbox.forEach((action) => action());
    if (wasDead) {
      instance.acceptedSinceMs = this.#time.nowMs;
    }
    if (this.#ineligible.has(instance.id)) {
      this.#time.after(HANDOVER_MS, () => {
        if (instance.state === "running") {
          this.#setEligible(instance.id, true);
        }
      });
    }
  }

  #startKey(): void {
    const skewMs = this.#random.nextInt(2 * CLIENT_SKEW_MAX_MS) -
      CLIENT_SKEW_MAX_MS;
    const random = Uint8Array.from(
      { length: 16 },
      () => this.#random.nextInt(256),
    );
    const key = createUuid({ msecs: this.#nowEpochMs() + skewMs, random });
    this.#attempt(key);
    const repeatsCount = 1 + this.#random.nextInt(3);
    for (let index = 0; index < repeatsCount; index++) {
      const delayMs = this.#random.nextInt(ATTEMPT_SPREAD_MS);
      this.#time.after(delayMs, () => this.#attempt(key));
    }
  }

  /** Sends an attempt to the owner as a daemon with a lagging view sees it. */
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
    const { generation } = instance;
    const flightMs = this.#random.nextInt(FLIGHT_MAX_MS);
    this.#time.after(flightMs, () => {
      if (instance.generation === generation) {
        this.#onInstance(instance, () => this.#arrive(instance, key));
      }
    });
  }

  /** A daemon beside a lost instance keeps the view of before the loss. */
  #chooseViewMs(): number {
    const lost = this.#instances.find((one) => one.viewStoppedMs !== undefined);
    const stale = this.#random.nextInt(STALE_ATTEMPTS_IN) === 0;
    return (stale ? lost?.viewStoppedMs : undefined) ?? this.#time.nowMs;
  }

  /** Runs an action now, or at the end of a freeze. */
  #onInstance(instance: Instance, action: () => void): void {
    const { generation } = instance;
    if (instance.state === "frozen") {
      instance.inbox.push(() => {
        if (instance.generation === generation) {
          action();
        }
      });
      return;
    }
    action();
  }

  #situation(instance: Instance): KeyedContext {
    return {
      rules: RULES,
      peerConnectivity: this.#standing(instance),
      nowMs: this.#time.nowMs,
      nowEpochMs: this.#nowEpochMs(),
    };
  }

  #arrive(instance: Instance, key: string): void {
    const request = {
      pool: POOL,
      tenant: "default",
      key,
      requestDigest: "POST /plates 10",
    };
    const decision = instance.admission.begin(
      request,
      this.#situation(instance),
    );
    if (decision.kind === "replay") {
      this.#counts.replayed++;
    }
    if (decision.kind !== "run") {
      return;
    }
    const { generation } = instance;
    this.#time.after(this.#random.nextInt(QUEUE_MAX_MS), () => {
      if (instance.generation === generation) {
        this.#onInstance(
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
    const { ledger, admission, generation } = instance;
    const refusal = this.#options.rules.recheck
      ? admission.recheck(request, this.#situation(instance))
      : undefined;
    if (refusal !== undefined) {
      ledger.forget(reservation);
      return;
    }
    const { key } = request;
    this.#effects.set(key, (this.#effects.get(key) ?? 0) + 1);
    this.#time.after(this.#random.nextInt(WORK_MAX_MS), () => {
      if (instance.generation === generation) {
        ledger.settle(reservation, {
          kind: "complete",
          answer: { status: 200, headers: [], body: Buffer.from("done") },
        });
      }
    });
  }
}
