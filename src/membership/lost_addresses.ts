/** Addresses of lost members that are still probed at a low rate. */
import type { Address } from "../schemas/common_schema.ts";

/** Time between two probes of lost addresses, in ms. */
export const LOST_PROBE_INTERVAL_MS = 5_000;
/** Time for which a lost address is probed, in ms. */
export const LOST_RETENTION_MS = 3_600_000;

type LostAddress = { readonly address: Address; readonly untilMs: number };

/**
 * Takes lost addresses in turn, so that an instance that restarts at its
 * address, or the other part of a data centre that was cut, is found while the
 * platform is down.
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

  /** Number of addresses. */
  get size(): number {
    return this.#lost.size;
  }

  /** Adds the address of a member that was lost. */
  add(instanceId: string, address: Address, nowMs: number): void {
    const untilMs = nowMs + LOST_RETENTION_MS;
    this.#lost.set(instanceId, { address, untilMs });
  }

  /** Removes a member that is live again or left. */
  remove(instanceId: string): void {
    this.#lost.delete(instanceId);
  }

  /**
   * Takes the next address when a probe is due.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Member and address, or undefined.
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
