/** Reads and writes the record of one lease. */
import type { Clock } from "../core/clock.ts";
import {
  type PlatformClient,
  PlatformError,
  type PutCondition,
} from "../core/platform_client.ts";
import {
  type LeaseRecord,
  leaseRecordSchema,
  type LeaseToken,
} from "../schemas/platform_schema.ts";
import {
  decideAcquire,
  isSameToken,
  lapseTimeMs,
  LEASE_LENGTH_MS,
  type ObservedLease,
  observeLease,
} from "./lease_decision.ts";

/** Result of an attempt to write a lease that the platform answered. */
export type LeaseWriteResult =
  | { readonly kind: "granted"; readonly sentMs: number }
  | { readonly kind: "refused" };

/** Options of {@link LeaseStore}. */
export type LeaseStoreOptions = {
  leaseName: string;
  holder: Omit<LeaseToken, "counter">;
  platform: PlatformClient;
  clock: Clock;
};

const LEASE_KIND = "leases";

/**
 * Client for the record of one lease in the platform. It keeps the last
 * observation of the record.
 *
 * @example
 * const result = await new LeaseStore(options).acquire();
 */
export class LeaseStore {
  readonly #options: LeaseStoreOptions;
  #observed: ObservedLease | undefined;
  #counter = 0;

  /**
   * @param options Name, identity, platform and clock.
   */
  constructor(options: LeaseStoreOptions) {
    this.#options = options;
  }

  /** Instance that wrote the record last, unless it released the lease. */
  lastHolder(): string | undefined {
    const record = this.#observed?.record;
    return record?.released === false ? record.token.instanceId : undefined;
  }

  /** Monotonic time at which the observed lease lapses unless renewed, in ms. */
  lapseMs(): number {
    return this.#observed === undefined
      ? Infinity
      : lapseTimeMs(this.#observed);
  }

  /**
   * Reads the record and writes it when the lease is free.
   *
   * @returns Granted or refused.
   * @throws {PlatformError} When the platform fails; a write may have taken effect.
   */
  async acquire(): Promise<LeaseWriteResult> {
    await this.#observe();
    const nowMs = this.#options.clock.monotonicMs();
    const decision = decideAcquire(this.#observed, this.#nextToken(), nowMs);
    if (decision === "wait") {
      return { kind: "refused" };
    }
    return await this.#write(false);
  }

  /**
   * Replaces the record if it still has the version that this holder wrote last.
   *
   * @returns Granted, or refused when another candidate wrote the record.
   * @throws {PlatformError} When the platform fails; a write may have taken effect.
   */
  async renew(): Promise<LeaseWriteResult> {
    return await this.#write(false);
  }

  /**
   * Marks the record as released.
   *
   * @throws {PlatformError} When the platform fails.
   */
  async release(): Promise<void> {
    await this.#write(true);
  }

  async #observe(): Promise<void> {
    const { clock, platform, leaseName } = this.#options;
    const nowMs = clock.monotonicMs();
    const object = await platform.get(LEASE_KIND, leaseName);
    if (object === undefined) {
      this.#observed = undefined;
      return;
    }
    const record = leaseRecordSchema.parse(object.value);
    const seen = { record, version: object.version };
    this.#observed = observeLease(this.#observed, seen, nowMs);
  }

  #nextToken(): LeaseToken {
    return { ...this.#options.holder, counter: this.#counter + 1 };
  }

  async #write(released: boolean): Promise<LeaseWriteResult> {
    const token = this.#nextToken();
    this.#counter = token.counter;
    const record = { token, released, lengthMs: LEASE_LENGTH_MS };
    const condition: PutCondition = {
      expectedVersion: this.#observed?.version ?? "absent",
    };
    const sentMs = this.#options.clock.monotonicMs();
    try {
      return await this.#put(record, { condition, sentMs });
    } catch (error) {
      if (error instanceof PlatformError && error.outcome === "unknown") {
        return await this.#readBack(token, sentMs);
      }
      throw error;
    }
  }

  async #put(
    record: LeaseRecord,
    sent: { condition: PutCondition; sentMs: number },
  ): Promise<LeaseWriteResult> {
    const { platform, leaseName } = this.#options;
    const object = { kind: LEASE_KIND, name: leaseName, value: record };
    const result = await platform.put(object, sent.condition);
    if (result.kind === "conflict") {
      return { kind: "refused" };
    }
    const { version } = result;
    this.#observed = { record, version, firstSeenMs: sent.sentMs };
    return { kind: "granted", sentMs: sent.sentMs };
  }

  /**
   * Reads the record after a write with an unknown outcome. Its token shows
   * whether the write took effect. If the version is unchanged, the attempt
   * counts as failed, so that a holder tries again.
   */
  async #readBack(
    token: LeaseToken,
    sentMs: number,
  ): Promise<LeaseWriteResult> {
    const before = this.#observed;
    await this.#observe();
    const record = this.#observed?.record;
    if (record !== undefined && isSameToken(record.token, token)) {
      return { kind: "granted", sentMs };
    }
    if (this.#observed?.version === before?.version) {
      throw new PlatformError("not-applied", "The lease write had no effect");
    }
    return { kind: "refused" };
  }
}
