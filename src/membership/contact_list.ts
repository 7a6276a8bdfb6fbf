/** Addresses of peers to join through, and to merge separate groups with. */
import type { Address } from "../schemas/common_schema.ts";

/** Time between two attempts to join, in ms. */
export const JOIN_INTERVAL_MS = 500;
/**
 * Time between two synchronisations with contacts after the join, in ms. They
 * merge groups that started separately and have no members in common.
 */
export const CONTACT_INTERVAL_MS = 30_000;

function isSameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}

/** Contact addresses, used in rotation: one at each attempt. */
export class ContactList {
  #addresses: readonly Address[] = [];
  #nextIndex = 0;
  #nextMs = Number.NEGATIVE_INFINITY;

  /**
   * Adds addresses that are not yet listed. They are used next, the first of
   * them without waiting for the end of the interval.
   *
   * @param addresses Addresses of peer listeners.
   * @param own Address of this daemon, which is left out.
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
   * @param isJoined Whether this daemon has synchronised with a peer.
   * @returns Address; undefined when no attempt is due or the list is empty.
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
