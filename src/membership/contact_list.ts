/** Addresses through which a daemon joins and finds parts that it lost. */
import type { Address } from "../schemas/common_schema.ts";

/** Time between two attempts to join, in ms. */
export const JOIN_INTERVAL_MS = 500;
/**
 * Time between two comparisons with contacts after the join, in ms. They unite
 * groups that started apart and never knew each other.
 */
export const CONTACT_INTERVAL_MS = 30_000;

function isSameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}

/** Takes contact addresses in turn. */
export class ContactList {
  #addresses: readonly Address[] = [];
  #nextIndex = 0;
  #nextMs = Number.NEGATIVE_INFINITY;

  /**
   * Adds addresses that are not yet known; they are tried first.
   *
   * @param addresses Addresses of peer listeners.
   * @param own Own address, which is left out.
   */
  add(addresses: readonly Address[], own: Address): void {
    const added = addresses.filter((address) =>
      !isSameAddress(address, own) &&
      !this.#addresses.some((known) => isSameAddress(known, address))
    );
    if (added.length === 0) {
      return;
    }
    this.#nextIndex = this.#addresses.length;
    this.#nextMs = Number.NEGATIVE_INFINITY;
    this.#addresses = [...this.#addresses, ...added];
  }

  /**
   * Takes the next address when an attempt is due.
   *
   * @param nowMs Monotonic time, in ms.
   * @param isJoined Whether this daemon has compared its view with a peer.
   * @returns Address, or undefined.
   */
  takeDue(nowMs: number, isJoined: boolean): Address | undefined {
    const intervalMs = isJoined ? CONTACT_INTERVAL_MS : JOIN_INTERVAL_MS;
    if (nowMs < this.#nextMs || this.#addresses.length === 0) {
      return undefined;
    }
    this.#nextMs = nowMs + intervalMs;
    const address = this.#addresses[this.#nextIndex % this.#addresses.length];
    this.#nextIndex++;
    return address;
  }
}
