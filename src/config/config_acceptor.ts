/** Accepts pairs of tables while this daemon holds the lease `config-acceptor`. */
import { empty, mergeArray, type Stream } from "most";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import type { PlatformClient, StoredObject } from "../core/platform_client.ts";
import { timerStream } from "../core/timer_stream.ts";
import {
  type AcceptedRecord,
  type AcceptorStatus,
  type SnapshotLocation,
  type StoredTable,
  storedTableSchema,
  TABLE_NAMES,
  type TableMistake,
  type TableName,
} from "../schemas/config_schema.ts";
import {
  type AcceptDecision,
  computeAcceptedStep,
  decideAccept,
  pairVersions,
  type StoredPair,
} from "./accept_decision.ts";
import {
  ACCEPTED_NAME,
  CONFIG_KIND,
  readAccepted,
  readAcceptorStatus,
  STATUS_NAME,
  TABLES_KIND,
  type Versioned,
} from "./config_objects.ts";
import type { ConfigStore } from "./config_store.ts";
import { compareHeads } from "./generation_rule.ts";
import type { LeaseView } from "./lease_view.ts";
import { PairChecker } from "./pair_checker.ts";
import { chooseSlot, SnapshotStore } from "./snapshot_store.ts";
import type { TableEntries } from "./table_entries.ts";

/** Events of the acceptor; `settled` follows the end of an attempt. */
export type AcceptorEvent =
  | { readonly kind: "table"; readonly object: StoredObject }
  | { readonly kind: "lease" | "tick" | "settled" };

/** Options of {@link ConfigAcceptor}. */
export type ConfigAcceptorOptions = {
  instanceId: string;
  incarnationEpochMs: number;
  platform: PlatformClient;
  lease: LeaseView;
  /** Copy of the configuration in this daemon, to compute steps. */
  store: ConfigStore;
  clock: Clock;
  /** Ticks that retry failed attempts; default one per second. */
  ticks?: Stream<unknown>;
};

type Acceptance = Extract<AcceptDecision, { kind: "accept" }>;
const TICK_MS = 1_000;

/**
 * Validates pairs of tables and publishes them as generations. Two acceptors at
 * once are safe: each replaces the accepted object only if it still has the
 * version that was read, so that one of their writes conflicts.
 *
 * Wiring: construct it with the `LeaseHolder` of `config-acceptor`, and
 * register both with the `EventLoop`. It watches the tables only while the
 * lease is held.
 *
 * @example
 * loop.register(new ConfigAcceptor({ instanceId, incarnationEpochMs, platform, lease, store, clock }));
 */
export class ConfigAcceptor implements ControlPart<AcceptorEvent> {
  readonly name = "config acceptor";
  readonly inputs: Stream<AcceptorEvent>;
  readonly #options: ConfigAcceptorOptions;
  readonly #snapshots: SnapshotStore;
  readonly #checker = new PairChecker();
  readonly #events = new EventSource<AcceptorEvent>();
  readonly #tables = new Map<TableName, Versioned<StoredTable>>();
  #pending = false;
  #running = false;
  #failed = false;

  /**
   * @param options Identity, platform, lease, store and clock.
   */
  constructor(options: ConfigAcceptorOptions) {
    this.#options = options;
    this.#snapshots = new SnapshotStore(options.platform);
    const { lease, platform, ticks = timerStream(TICK_MS) } = options;
    const tables = lease.changes
      .map((held) => held ? platform.watch(TABLES_KIND) : empty())
      .switchLatest() as Stream<StoredObject>;
    this.inputs = mergeArray<AcceptorEvent>([
      tables.map((object) => ({ kind: "table", object })),
      lease.changes.map(() => ({ kind: "lease" })),
      ticks.map(() => ({ kind: "tick" })),
      this.#events.stream,
    ]);
  }

  /** @inheritdoc */
  handle(event: AcceptorEvent): void | Promise<void> {
    if (event.kind === "table") {
      this.#recordTable(event.object);
    }
    if (event.kind === "settled") {
      this.#running = false;
    }
    // A failed attempt is retried at the next tick, not immediately.
    const isRetryDue = event.kind === "tick" && this.#failed;
    this.#pending ||= event.kind === "lease" || isRetryDue;
    return this.#startWhenDue();
  }

  #recordTable(object: StoredObject): void {
    const name = TABLE_NAMES.find((table) => table === object.name);
    if (name === undefined) {
      return;
    }
    const value = storedTableSchema.parse(object.value);
    this.#tables.set(name, { version: object.version, value });
    this.#pending = true;
  }

  #startWhenDue(): void | Promise<void> {
    const routes = this.#tables.get("routes");
    const pools = this.#tables.get("pools");
    const due = this.#pending && !this.#running && this.#options.lease.isHeld();
    if (!due || routes === undefined || pools === undefined) {
      return;
    }
    this.#pending = false;
    this.#running = true;
    return this.#attempt({ routes, pools });
  }

  async #attempt(pair: StoredPair): Promise<void> {
    this.#failed = false;
    try {
      await this.#processPair(pair);
    } catch (error) {
      this.#failed = true;
      throw error;
    } finally {
      this.#events.emit({ kind: "settled" });
    }
  }

  async #processPair(pair: StoredPair): Promise<void> {
    const accepted = await readAccepted(this.#options.platform);
    const decision = decideAccept(pair, accepted?.value, {
      checker: this.#checker,
      known: this.#options.store.entries(),
    });
    if (decision.kind === "notNewer") {
      return;
    }
    if (decision.kind === "invalid") {
      return await this.#writeStatus(pair, {
        generation: accepted?.value.head.generation ?? 0,
        mistakes: decision.mistakes,
      });
    }
    if (await this.#accept(pair, decision, accepted)) {
      await this.#writeStatus(pair, { generation: decision.head.generation });
    }
  }

  /**
   * Writes a generation to the platform.
   *
   * @returns False when the lease lapsed or the write conflicted.
   */
  async #accept(
    pair: StoredPair,
    decision: Acceptance,
    accepted: Versioned<AcceptedRecord> | undefined,
  ): Promise<boolean> {
    const base = await this.#findBase(accepted?.value);
    const snapshot = await this.#writeSnapshot(decision, accepted?.value);
    const acceptedEpochMs = this.#options.clock.wallMs();
    const step = computeAcceptedStep(base, decision, acceptedEpochMs);
    const value: AcceptedRecord = {
      head: decision.head,
      versions: pairVersions(pair),
      snapshot,
      acceptedBy: this.#options.instanceId,
      acceptedEpochMs,
      ...(step && { step }),
    };
    if (!this.#options.lease.isHeld()) {
      return false;
    }
    const object = { kind: CONFIG_KIND, name: ACCEPTED_NAME, value };
    const result = await this.#options.platform.put(object, {
      expectedVersion: accepted?.version ?? "absent",
    });
    this.#pending ||= result.kind === "conflict";
    return result.kind === "written";
  }

  /** Finds the accepted entries in this daemon's store or in the platform. */
  async #findBase(accepted: AcceptedRecord | undefined) {
    if (accepted === undefined) {
      return undefined;
    }
    const { store } = this.#options;
    const { head } = accepted;
    const own = store.head();
    if (own !== undefined && compareHeads(own, head) === "same") {
      return { head, entries: store.entries() };
    }
    const entries = await this.#snapshots.read(accepted);
    return entries && { head, entries };
  }

  async #writeSnapshot(
    decision: { head: AcceptedRecord["head"]; entries: TableEntries },
    accepted: AcceptedRecord | undefined,
  ): Promise<SnapshotLocation> {
    const { instanceId, incarnationEpochMs } = this.#options;
    const { head, entries } = decision;
    const writer = `${instanceId} ${incarnationEpochMs} ${head.generation}`;
    const slot = chooseSlot(writer, accepted?.snapshot.slot);
    return await this.#snapshots.write(head, entries, slot);
  }

  async #writeStatus(
    pair: StoredPair,
    result: { generation: number; mistakes?: TableMistake[] },
  ): Promise<void> {
    const { platform } = this.#options;
    const { generation, mistakes = [] } = result;
    const value: AcceptorStatus = {
      versions: pairVersions(pair),
      result: mistakes.length === 0 ? "accepted" : "invalid",
      generation,
      mistakes,
    };
    const before = await readAcceptorStatus(platform);
    const object = { kind: CONFIG_KIND, name: STATUS_NAME, value };
    await platform.put(object, {
      expectedVersion: before?.version ?? "absent",
    });
  }
}
