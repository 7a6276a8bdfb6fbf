/** All members known to this daemon, with states from the chart `member`. */
import type { CompiledChart } from "../charts/compile_chart.ts";
import { loadChart } from "../charts/load_chart.ts";
import {
  MEMBER_STATES,
  type MemberState,
  type MemberUpdate,
  type MemberVersion,
} from "../schemas/member_schema.ts";
import { runActions, selectTransition } from "./chart_transitions.ts";
import { MemberDigests } from "./member_digests.ts";
import { MemberTable } from "./member_table.ts";
import { ObserverRings } from "./observer_rings.ts";

/** Change of a member that the registry applied. */
export type MemberChange = {
  /**
   * - `joined`: the member became live, changed its pool, or has a newer
   *   incarnation.
   * - `dead`: the member was declared dead without confirmation.
   * - `gone`: the member has left or is confirmed to have ended. Also recorded
   *   before `joined` when a live member changes its pool, or any member has a
   *   newer incarnation; it then has the former pool and incarnation.
   * - `updated`: any other change.
   */
  readonly kind: "joined" | "dead" | "gone" | "updated";
  readonly instanceId: string;
  readonly incarnationEpochMs: number;
  readonly dataCentre: string;
  readonly pool: string;
  /** Monotonic time at which this daemon applied the change, in ms. */
  readonly atMs: number;
};

/** Suspicion that is neither refuted nor confirmed. */
export type Suspicion = {
  readonly version: MemberVersion;
  /**
   * Distinct observers that suspect the member; at most two, which suffice to
   * declare it dead.
   */
  readonly observers: string[];
  /**
   * Monotonic time of the first suspicion, plus the pauses of this daemon since
   * then, in ms.
   */
  sinceMs: number;
  /** Whether another daemon has declared the member dead. */
  claimedDead: boolean;
};

/** Options of {@link MemberRegistry.apply}. */
export type ApplyOptions = {
  nowMs: number;
  /** Whether the update is a suspicion that replaces another daemon's `dead`. */
  claimedDead?: boolean;
};

/** Update for a row of the table, as the guards and actions receive it. */
type RowUpdate = ApplyOptions & { row: number; update: MemberUpdate };

const SUSPICION_OBSERVERS_MAX_COUNT = 2;
const LIVE_STATES: readonly string[] = [
  "alive",
  "leaving",
  "suspect",
  "leavingSuspect",
];

/**
 * Whether a member in a given state may still run.
 *
 * @param state State of a member.
 * @returns False for dead, gone and left.
 */
export function isLiveState(state: MemberState): boolean {
  return LIVE_STATES.includes(state);
}

/**
 * Compares two versions of a member by incarnation, sequence and state.
 *
 * @param a First version.
 * @param b Second version.
 * @returns Positive when the first is newer, 0 when they are equal.
 */
export function compareVersions(a: MemberVersion, b: MemberVersion): number {
  return a.incarnationEpochMs - b.incarnationEpochMs ||
    a.sequence - b.sequence ||
    MEMBER_STATES.indexOf(a.state) - MEMBER_STATES.indexOf(b.state);
}

/**
 * Applies updates that are newer than the stored version of a member, and keeps
 * rings, digests and suspicions up to date.
 *
 * @example
 * if (registry.apply(update, { nowMs })) flood(update);
 */
export class MemberRegistry {
  readonly table = new MemberTable();
  readonly rings = new ObserverRings();
  readonly digests = new MemberDigests();
  readonly suspicions = new Map<string, Suspicion>();
  readonly #dataCentre: string;
  readonly #chart: CompiledChart;
  readonly #unknownIndex: number;
  readonly #lostMs = new Map<string, number>();
  #changes: MemberChange[] = [];
  #deadPeersCount = 0;

  /**
   * @param dataCentre Data centre of this daemon, whose members form the rings.
   */
  constructor(dataCentre: string) {
    this.#dataCentre = dataCentre;
    this.#chart = MEMBER_CHART;
    this.#unknownIndex = this.#chart.initialIndex;
  }

  /** Members of this data centre that are dead without confirmation. */
  get deadPeersCount(): number {
    return this.#deadPeersCount;
  }

  /**
   * Applies one update.
   *
   * @param update Update of a member.
   * @param options Time, and whether the update replaces another daemon's `dead`.
   * @returns True when the update changed the registry and is to be flooded.
   */
  apply(update: MemberUpdate, options: ApplyOptions): boolean {
    const known = this.table.rowOf(update.instanceId);
    const row = known ?? this.#add(update, options.nowMs);
    const rowUpdate: RowUpdate = { ...options, row, update };
    const transition = selectTransition(
      this.#chart,
      this.table.stateIndexOf(row),
      { name: update.state, methods: this, data: rowUpdate },
    );
    if (transition === undefined) {
      return false;
    }
    const before = this.stateAt(row);
    this.#toggleDigest(row, before);
    this.table.setStateIndex(row, transition.targetIndex);
    runActions(transition, this, rowUpdate);
    const after = this.stateAt(row);
    this.#toggleDigest(row, after);
    this.#countDead(update, { before, after });
    return true;
  }

  /** Monotonic time of a member's loss, in ms; undefined while it is live. */
  lostMsOf(instanceId: string): number | undefined {
    return this.#lostMs.get(instanceId);
  }

  /** State of a row; `unknown` only while its first update is applied. */
  stateAt(row: number): MemberState {
    return this.#chart.stateNames[this.table.stateIndexOf(row)] as MemberState;
  }

  /** Version of a member; undefined for an unknown member. */
  versionOf(instanceId: string): MemberVersion | undefined {
    const row = this.table.rowOf(instanceId);
    return row === undefined ? undefined : this.versionAt(row);
  }

  /** Version of a row. */
  versionAt(row: number): MemberVersion {
    return {
      incarnationEpochMs: this.table.incarnationOf(row),
      sequence: this.table.sequenceOf(row),
      state: this.stateAt(row),
    };
  }

  /** Full record of a member as an update; undefined for an unknown member. */
  updateOf(instanceId: string): MemberUpdate | undefined {
    const row = this.table.rowOf(instanceId);
    return row === undefined ? undefined : this.updateAt(row);
  }

  /** Full record of a row as an update. */
  updateAt(row: number): MemberUpdate {
    const update = { ...this.table.read(row), state: this.stateAt(row) };
    const suspectedBy = this.suspicions.get(update.instanceId)?.observers[0];
    return suspectedBy === undefined ? update : { ...update, suspectedBy };
  }

  /** Returns and clears the changes since the last call. */
  takeChanges(): MemberChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }

  /**
   * Removes members whose loss is older than a given time.
   *
   * @param beforeMs Monotonic time; members lost before it are removed.
   */
  forgetLost(beforeMs: number): void {
    for (const [instanceId, lostMs] of this.#lostMs) {
      if (lostMs >= beforeMs) {
        return;
      }
      const row = this.table.rowOf(instanceId) as number;
      const state = this.stateAt(row);
      const event = { name: "forget", methods: this, data: undefined };
      if (selectTransition(this.#chart, this.table.stateIndexOf(row), event)) {
        const { dataCentre } = this.table.read(row);
        // A member that is removed no longer counts as dead.
        this.#countDead({ dataCentre }, { before: state, after: "gone" });
        this.table.remove(row);
      }
      this.#lostMs.delete(instanceId);
    }
  }

  // Guards and actions of the chart `member`.

  /** Guard: the update's version is newer than the record's. */
  isNewer({ row, update }: RowUpdate): boolean {
    return compareVersions(update, this.versionAt(row)) > 0;
  }

  /**
   * Guard: another observer suspects the same version, and fewer than
   * {@link SUSPICION_OBSERVERS_MAX_COUNT} are recorded.
   */
  isNewObserver({ row, update }: RowUpdate): boolean {
    const suspicion = this.suspicions.get(update.instanceId);
    return suspicion !== undefined && update.suspectedBy !== undefined &&
      compareVersions(update, this.versionAt(row)) === 0 &&
      suspicion.observers.length < SUSPICION_OBSERVERS_MAX_COUNT &&
      !suspicion.observers.includes(update.suspectedBy);
  }

  /** Action: a member that was unknown or lost is live. */
  join({ row, update, nowMs }: RowUpdate): void {
    if (this.table.incarnationOf(row) < update.incarnationEpochMs) {
      this.#recordChange("gone", row, nowMs);
    }
    this.table.write(row, update);
    this.table.setJoinedMs(row, nowMs);
    this.#lostMs.delete(update.instanceId);
    if (update.dataCentre === this.#dataCentre) {
      this.rings.add(update.instanceId);
    }
    this.#recordChange("joined", row, nowMs);
  }

  /** Action: a live member has a new version. */
  update({ row, update, nowMs }: RowUpdate): void {
    const isReplaced =
      this.table.incarnationOf(row) !== update.incarnationEpochMs;
    const isPoolChanged = this.table.poolOf(row) !== update.pool;
    if (isReplaced || isPoolChanged) {
      this.#recordChange("gone", row, nowMs);
    }
    this.table.write(row, update);
    if (isReplaced || isPoolChanged) {
      this.table.setJoinedMs(row, nowMs);
    }
    this.#recordChange(
      isReplaced || isPoolChanged ? "joined" : "updated",
      row,
      nowMs,
    );
  }

  /** Action: adds an observer to the suspicion of the member. */
  suspect({ row, update, nowMs, claimedDead }: RowUpdate): void {
    let suspicion = this.suspicions.get(update.instanceId);
    if (suspicion === undefined) {
      const version = this.versionAt(row);
      suspicion = {
        version,
        observers: [],
        sinceMs: nowMs,
        claimedDead: false,
      };
      this.suspicions.set(update.instanceId, suspicion);
    }
    if (update.suspectedBy !== undefined) {
      suspicion.observers.push(update.suspectedBy);
    }
    suspicion.claimedDead ||= claimedDead === true;
  }

  /** Action: ends a suspicion that is refuted or confirmed. */
  clearSuspicion({ update }: RowUpdate): void {
    this.suspicions.delete(update.instanceId);
  }

  /** Action: declares a live member dead, without confirmation. */
  declareDead({ row, update, nowMs }: RowUpdate): void {
    this.recordEnded({ row, update, nowMs });
    this.#recordChange("dead", row, nowMs);
  }

  /** Action: records that the member is confirmed to have ended. */
  confirmGone({ row, update, nowMs }: RowUpdate): void {
    this.recordEnded({ row, update, nowMs });
    this.#recordChange("gone", row, nowMs);
  }

  /** Action: stores the record and the time of the loss of a member. */
  recordEnded({ row, update, nowMs }: RowUpdate): void {
    this.table.write(row, update);
    this.rings.remove(update.instanceId);
    // Deleted first, so that the map stays ordered by the time of the loss.
    this.#lostMs.delete(update.instanceId);
    this.#lostMs.set(update.instanceId, nowMs);
  }

  #add(update: MemberUpdate, nowMs: number): number {
    const row = this.table.add(update, this.#unknownIndex);
    this.table.setJoinedMs(row, nowMs);
    return row;
  }

  #recordChange(kind: MemberChange["kind"], row: number, atMs: number): void {
    this.#changes.push({
      kind,
      instanceId: this.table.idOf(row),
      incarnationEpochMs: this.table.incarnationOf(row),
      dataCentre: this.table.dataCentreOf(row),
      pool: this.table.poolOf(row),
      atMs,
    });
  }

  #toggleDigest(row: number, state: MemberState): void {
    if (isLiveState(state)) {
      this.digests.toggle({ ...this.table.read(row), state });
    }
  }

  #countDead(
    member: { dataCentre: string },
    states: { before: MemberState; after: MemberState },
  ): void {
    if (member.dataCentre !== this.#dataCentre) {
      return;
    }
    this.#deadPeersCount += Number(states.after === "dead") -
      Number(states.before === "dead");
  }
}

const MEMBER_CHART = loadChart("member", MemberRegistry.prototype);
