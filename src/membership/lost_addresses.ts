/** Addresses of dead and gone members, which are still probed at a low rate. */
import type { Address } from "../schemas/common_schema.ts";

/** Time between two probes of lost addresses, in ms. */
export const LOST_PROBE_INTERVAL_MS = 5_000;
/**
 * Time for which a lost address is probed, and for which the registry keeps
 * lost members, in ms.
 */
export const LOST_RETENTION_MS = 3_600_000;

type LostAddress = { readonly address: Address; readonly untilMs: number };

/**
 * Selects lost addresses for probes in rotation. The probes find an instance
 * that restarts at its address, or the other side of a partitioned data centre,
 * even while the platform is down.
 */
export class LostAddresses {
  readonly #lost = new Map<string, LostAddress>();
  #nextMs: number;

  /**
   * @param nowMs Monotonic time, in ms.
   */
  constructor(nowMs: number) {
    this.#nextMs = nowMs;
  }

  /** Number of addresses that are probed. */
  get size(): number {
    return this.#lost.size;
  }

  /** Adds the address of a lost member, for {@link LOST_RETENTION_MS}. */
  add(instanceId: string, address: Address, nowMs: number): void {
    const untilMs = nowMs + LOST_RETENTION_MS;
    this.#lost.set(instanceId, { address, untilMs });
  }

  /** Removes the address of a member that is live again or was replaced. */
  remove(instanceId: string): void {
    this.#lost.delete(instanceId);
  }

  /**
   * Takes the next address when a probe is due.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Member and address; undefined when no probe is due.
   */
  takeDue(nowMs: number): { instanceId: string; address: Address } | undefined {
    if (nowMs < this.#nextMs) {
      return undefined;
    }
    const [first] = this.#lost;
    if (first === undefined) {
      return undefined;
    }
    this.#nextMs = nowMs + LOST_PROBE_INTERVAL_MS;
    const [instanceId, lost] = first;
    this.#lost.delete(instanceId);
    if (lost.untilMs <= nowMs) {
      return undefined;
    }
    this.#lost.set(instanceId, lost);
    return { instanceId, address: lost.address };
  }
}
