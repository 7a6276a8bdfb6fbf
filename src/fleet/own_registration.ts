/** This daemon's member record in the store. */
import type { PlatformClient } from "../core/platform_client.ts";
import type {
  MemberRecord,
  UpstreamDeparture,
} from "../schemas/fleet_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import {
  decodeMemberRecord,
  isSameDeparture,
  isSameRecord,
  MEMBER_KIND,
} from "./member_records.ts";

/**
 * Time after the start at which {@link OwnRegistration.known} resolves although
 * neither the store nor a peer has answered.
 */
const KNOWN_MAX_WAIT_MS = 800;
/** Time between two attempts to write this daemon's record. */
const REGISTER_RETRY_MS = 1_000;

/** Options of {@link OwnRegistration}. */
export type OwnRegistrationOptions = {
  store: PlatformClient;
  /** Record to register. */
  record: MemberRecord;
  log: Logger;
  /**
   * Called with the stored record of this daemon, which an earlier process may
   * have written.
   */
  onStored: (record: MemberRecord) => void;
};

/**
 * Keeps the stored record of this daemon equal to its present one. A departure
 * that an earlier process stored is taken over.
 */
export class OwnRegistration {
  readonly #options: OwnRegistrationOptions;
  #record: MemberRecord;
  #storedVersion: number | undefined;
  #writing: Promise<void> | undefined;
  #isRegistered = false;
  #isNew = false;
  #mayExist = false;
  #checksCount = 0;
  #writeAtMs = 0;
  #resolveKnown = () => {};
  /**
   * Resolves when a departure that an earlier process has acknowledged is taken
   * over, if there is one: when the store or a peer has answered, or 800 ms after
   * the start.
   */
  readonly known: Promise<void>;

  /**
   * @param options Store, record, logger and callback.
   */
  constructor(options: OwnRegistrationOptions) {
    this.#options = options;
    this.#record = options.record;
    this.known = new Promise((resolve) => {
      this.#resolveKnown = resolve;
      setTimeout(resolve, KNOWN_MAX_WAIT_MS).unref();
    });
  }

  /** Present record of this daemon, which is also sent to peers. */
  get record(): MemberRecord {
    return this.#record;
  }

  /** Whether the store has the present record. */
  get isRegistered(): boolean {
    return this.#isRegistered;
  }

  /** Whether the store had no record of this daemon before its start. */
  get isNew(): boolean {
    return this.#isNew;
  }

  /**
   * Handles the stored record of this daemon.
   *
   * @param record Stored record.
   * @param version Its version in the store.
   */
  handleStored(record: MemberRecord, version: number): void {
    this.#storedVersion = version;
    this.#takeOver(record);
    this.#isRegistered = isSameRecord(record, this.#record);
  }

  /**
   * Handles the record of this daemon that a peer knows. It may have a departure
   * that an earlier process acknowledged while the store was down.
   *
   * @param record Record that the peer knows.
   */
  handlePeerCopy(record: MemberRecord): void {
    const { leftUpstream } = this.#record;
    this.#takeOver(record);
    this.#isRegistered &&= isSameDeparture(
      leftUpstream,
      this.#record.leftUpstream,
    );
  }

  /** Handles the removal of the stored record: it is written again. */
  handleRemoved(): void {
    this.#storedVersion = undefined;
    this.#isRegistered = false;
  }

  /**
   * Reads the stored record again, and writes it if it differs: the store may
   * have lost it in a restore, or another writer may have replaced it.
   */
  checkStored(): void {
    this.#checksCount++;
    this.#storedVersion = undefined;
    this.#mayExist = true;
    this.#isRegistered = false;
    this.#writeAtMs = 0;
  }

  /**
   * Adds the departure of the local upstream to the record, so that the daemon
   * does not send it requests after a restart. Does nothing if the record has
   * the departure already.
   *
   * @param departure Upstream that leaves.
   * @returns Resolves when the record with the departure is written or the
   *   attempt has failed. Until the record is stored, {@link tick} retries it.
   */
  async storeDeparture(departure: UpstreamDeparture): Promise<void> {
    if (isSameDeparture(departure, this.#record.leftUpstream)) {
      return;
    }
    this.#record = { ...this.#record, leftUpstream: departure };
    this.#isRegistered = false;
    // A write in progress does not have the departure.
    await this.#writing;
    if (!this.#isRegistered) {
      await this.#register();
    }
  }

  /**
   * Writes the record if it is not stored and an attempt is due.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    if (!this.#isRegistered && nowMs >= this.#writeAtMs) {
      void this.#register();
    }
  }

  #takeOver(record: MemberRecord): void {
    this.#options.onStored(record);
    const { leftUpstream } = record;
    if (leftUpstream !== undefined && this.#record.leftUpstream === undefined) {
      this.#record = { ...this.#record, leftUpstream };
    }
    this.#resolveKnown();
  }

  #register(): Promise<void> {
    this.#writing ??= this.#tryWrite().finally(() => {
      this.#writing = undefined;
    });
    return this.#writing;
  }

  async #tryWrite(): Promise<void> {
    this.#writeAtMs = performance.now() + REGISTER_RETRY_MS;
    try {
      await this.#write();
    } catch (error) {
      // The write may have taken effect although its answer was lost.
      this.#mayExist = true;
      this.#options.log.warn("Own entry was not written", errorFields(error));
    }
  }

  async #write(): Promise<void> {
    if (this.#mayExist && this.#storedVersion === undefined) {
      await this.#readStored();
    }
    if (this.#isRegistered) {
      return;
    }
    const record = this.#record;
    const checksCount = this.#checksCount;
    const isFirstWrite = this.#storedVersion === undefined && !this.#mayExist;
    // The watch may deliver the record before the answer arrives.
    this.#isNew ||= isFirstWrite;
    const result = await this.#options.store.put(
      { kind: MEMBER_KIND, name: record.name, value: record },
      { expectedVersion: this.#storedVersion ?? "absent" },
    );
    if (checksCount !== this.#checksCount) {
      // What was written before the check may be lost already.
      return;
    }
    if (result.kind === "written") {
      this.#storedVersion = result.version;
      this.#isRegistered = isSameRecord(record, this.#record);
      this.#resolveKnown();
      return;
    }
    // Another version is stored, by an earlier process or by an earlier write
    // whose answer was lost. The next tick writes the record if it differs.
    this.#isNew &&= !isFirstWrite;
    this.#storedVersion = undefined;
    this.#mayExist = true;
    this.#writeAtMs = 0;
    await this.#readStored();
  }

  async #readStored(): Promise<void> {
    const stored = await this.#options.store.get(
      MEMBER_KIND,
      this.#record.name,
    );
    if (stored === undefined) {
      return;
    }
    const record = decodeMemberRecord(stored.name, stored.value);
    if (record !== undefined) {
      this.handleStored(record, stored.version);
      return;
    }
    // The next write replaces an entry that another writer has damaged.
    this.#storedVersion = stored.version;
  }
}
