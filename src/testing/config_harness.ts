/** Test harness for the acceptance and distribution of configurations. */
import { setImmediate as nextTurn } from "node:timers/promises";
import { ManualClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import { SeededRandom } from "../core/random.ts";
import type { TableName } from "../schemas/config_schema.ts";
import { MemoryPlatformClient } from "../../stand_ins/platform_memory_client.ts";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { ConfigAcceptor } from "../config/config_acceptor.ts";
import { ConfigDistributor } from "../config/config_distributor.ts";
import { ConfigReader } from "../config/config_reader.ts";
import { ConfigStore } from "../config/config_store.ts";
import type { LeaseView } from "../config/lease_view.ts";
import { MemoryPeerNetwork } from "./memory_peer_network.ts";

/** Lease that a test grants and withdraws. */
export class ManualLease implements LeaseView {
  held = false;
  readonly #changes = new EventSource<boolean>();

  /** Emits true when the test grants the lease and false when it withdraws it. */
  get changes() {
    return this.#changes.stream;
  }

  /** @inheritdoc */
  isHeld(): boolean {
    return this.held;
  }

  /** Grants or withdraws the lease and emits the change. */
  set(held: boolean): void {
    this.held = held;
    this.#changes.emit(held);
  }
}

/** A small valid pair of tables with routes `r0` to `r<n-1>`. */
export function sampleTables(routesCount = 2): Record<TableName, unknown> {
  const routes = Array.from(
    { length: routesCount },
    (_, index) => [`r${index}`, {
      match: { method: "GET", pathPrefix: `/r${index}` },
      pool: "logbook",
      class: "standard",
      idempotent: true,
    }],
  );
  const logbook = {
    dataCentres: ["dc-1"],
    slotsCount: 100,
    connectionsMaxCount: 700,
    endpointsCount: 5,
  };
  return {
    routes: { routes: Object.fromEntries(routes) },
    pools: { pools: { logbook } },
  };
}

/** One platform stand-in and any number of daemons that share it. */
export class ConfigHarness {
  readonly store = new PlatformStore();
  readonly network = new MemoryPeerNetwork();
  readonly clock = new ManualClock(1_000_000);
  readonly ticks = new EventSource<true>();
  readonly errors: unknown[] = [];
  #seed = 0;

  /** Writes the next version of a table and returns the version. */
  writeTable(name: TableName, table: unknown, editId = "edit"): number {
    const key = { kind: "tables", name };
    const version = this.store.read(key)?.version;
    const text = typeof table === "string" ? table : JSON.stringify(table);
    const value = { editId, recentEditIds: [editId], text };
    this.store.write(key, value, { expectedVersion: version ?? "absent" });
    return (version ?? 0) + 1;
  }

  /** Writes both tables. */
  writeTables(tables: Record<TableName, unknown>): void {
    this.writeTable("routes", tables.routes);
    this.writeTable("pools", tables.pools);
  }

  /** Starts a daemon that has only the parts for the configuration. */
  addDaemon(instanceId: string, contacts: number[] = []) {
    const { clock, ticks } = this;
    const platform = new MemoryPlatformClient(this.store);
    const peer = this.network.add(instanceId);
    const store = new ConfigStore(clock);
    const acceptorLease = new ManualLease();
    const readerLease = new ManualLease();
    const shared = { platform, store, clock, ticks: ticks.stream };
    const distributor = new ConfigDistributor({
      ...shared,
      transport: peer,
      neighbours: peer,
      contacts: contacts.map((port) => ({ host: "127.0.0.1", port })),
      random: new SeededRandom(++this.#seed),
    });
    const loop = new EventLoop((_name, error) => this.errors.push(error));
    loop.register(distributor);
    loop.register(new ConfigReader({ ...shared, lease: readerLease }));
    loop.register(
      new ConfigAcceptor({
        ...shared,
        instanceId,
        incarnationEpochMs: 1,
        lease: acceptorLease,
      }),
    );
    loop.start();
    return { platform, peer, store, acceptorLease, readerLease, distributor };
  }

  /**
   * Runs pending promises and immediates for 40 turns of the Node.js event loop.
   */
  async settle(): Promise<void> {
    for (let turn = 0; turn < 40; turn++) {
      await nextTurn();
    }
  }

  /** Advances time in steps with a tick after each. */
  async advance(durationMs: number, stepMs = 500): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      this.clock.advance(stepMs);
      this.ticks.emit(true);
      await this.settle();
    }
  }

  /** Reads the record of the accepted configuration from the platform. */
  // deno-lint-ignore no-explicit-any -- tests read single fields
  accepted(): any {
    return this.store.read({ kind: "config", name: "accepted" })?.value;
  }
}
