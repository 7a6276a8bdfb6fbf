/** Reads the accepted configuration from the platform. */
import { empty, merge, type Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import type { PlatformClient, StoredObject } from "../core/platform_client.ts";
import { timerStream } from "../core/timer_stream.ts";
import {
  type AcceptedRecord,
  acceptedRecordSchema,
} from "../schemas/config_schema.ts";
import { ACCEPTED_NAME, CONFIG_KIND } from "./config_objects.ts";
import type { ConfigStore } from "./config_store.ts";
import { compareHeads } from "./generation_rule.ts";
import type { LeaseView } from "./lease_view.ts";
import { SnapshotStore } from "./snapshot_store.ts";

/** Options of {@link ConfigReader}. */
export type ConfigReaderOptions = {
  platform: PlatformClient;
  /** Lease `<data centre>-reader-N`. */
  lease: LeaseView;
  store: ConfigStore;
  /** Ticks that retry failed reads of snapshots; default one every 2 s. */
  ticks?: Stream<unknown>;
};

/** Events of a reader. */
export type ReaderEvent =
  | { readonly kind: "object"; readonly object: StoredObject }
  | { readonly kind: "tick" };

const TICK_MS = 2_000;

/**
 * Applies an accepted configuration to a store: its step if that starts at the
 * configuration in force, else the snapshot.
 *
 * @param accepted Object `config/accepted`.
 * @param store Configuration of this daemon.
 * @param platform Object API.
 * @returns True when the store has this configuration or a later one; false
 * when the snapshot is missing or does not match its digest.
 * @throws {PlatformError} When the snapshot cannot be read.
 * @throws {Error} When the store has another content of the generation.
 */
export async function applyAccepted(
  accepted: AcceptedRecord,
  store: ConfigStore,
  platform: PlatformClient,
): Promise<boolean> {
  const { head, step, acceptedEpochMs } = accepted;
  const relation = compareHeads(store.head(), head);
  if (relation === "same") {
    store.confirm();
  }
  if (relation === "conflicting") {
    const { generation } = head;
    throw new Error(
      `The platform has another content of generation ${generation}`,
    );
  }
  if (relation !== "newer") {
    return true;
  }
  const origin = { source: "platform" } as const;
  if (step !== undefined && store.applyStep(step, origin)) {
    return true;
  }
  const entries = await new SnapshotStore(platform).read(accepted);
  if (entries !== undefined) {
    store.applyFull({ head, entries, acceptedEpochMs }, origin);
  }
  // During the read the store may have applied this generation or a later one
  // from a peer, such as the other reader. The read returns undefined if the
  // snapshot of a later generation has overwritten this one in its slot.
  return compareHeads(store.head(), head) !== "newer";
}

/**
 * Watches the accepted configuration in the platform while its lease is held and
 * applies each one to the store; the distributor floods it to other daemons.
 *
 * Wiring: construct one per reader lease of the data centre, with that
 * `LeaseHolder`, and register both with the `EventLoop`.
 *
 * @example
 * loop.register(new ConfigReader({ platform, lease, store }));
 */
export class ConfigReader implements ControlPart<ReaderEvent> {
  readonly name = "config reader";
  readonly inputs: Stream<ReaderEvent>;
  readonly #options: ConfigReaderOptions;
  /** Latest accepted configuration that is not applied yet. */
  #unapplied: AcceptedRecord | undefined;

  /**
   * @param options Platform, lease and store.
   */
  constructor(options: ConfigReaderOptions) {
    this.#options = options;
    const { lease, platform, ticks = timerStream(TICK_MS) } = options;
    const objects = lease.changes
      .map((held) => held ? platform.watch(CONFIG_KIND) : empty())
      .switchLatest() as Stream<StoredObject>;
    this.inputs = merge<ReaderEvent>(
      objects.map((object) => ({ kind: "object", object })),
      ticks.map(() => ({ kind: "tick" })),
    );
  }

  /** @inheritdoc */
  async handle(event: ReaderEvent): Promise<void> {
    if (event.kind === "object" && event.object.name === ACCEPTED_NAME) {
      await this.#apply(acceptedRecordSchema.parse(event.object.value));
    }
    const isRetryDue = event.kind === "tick" && this.#options.lease.isHeld();
    if (isRetryDue && this.#unapplied !== undefined) {
      await this.#apply(this.#unapplied);
    }
  }

  async #apply(accepted: AcceptedRecord): Promise<void> {
    const { store, platform } = this.#options;
    this.#unapplied = accepted;
    const applied = await applyAccepted(accepted, store, platform);
    if (!applied) {
      const { generation } = accepted.head;
      throw new Error(`Snapshot of generation ${generation} does not match`);
    }
    // A later object may have arrived while the snapshot was read.
    if (this.#unapplied === accepted) {
      this.#unapplied = undefined;
    }
  }
}
