/** The lease books of one daemon for all owners that it uses. */
import { LeaseBook } from "./lease_book.ts";
import type { CandidateView } from "./owner_pointer.ts";
import type { TenantTokens } from "./tenant_tokens.ts";

/**
 * Time after which an owner that is not used is forgotten. It is longer than the
 * time for which owners remember the numbers of messages.
 */
const UNUSED_MAX_MS = 120_000;

/** Lease books by owner. */
export class LeaseBooks {
  readonly #view: CandidateView;
  readonly #books = new Map<string, LeaseBook>();

  /**
   * @param view Connections of the daemon to the candidates.
   */
  constructor(view: CandidateView) {
    this.#view = view;
  }

  /** Names of the owners, and their books. */
  get entries(): ReadonlyMap<string, LeaseBook> {
    return this.#books;
  }

  /** Returns the book of an owner; undefined for an owner that is not used. */
  get(ownerName: string): LeaseBook | undefined {
    return this.#books.get(ownerName);
  }

  /** Returns the book of an owner, and creates it for a new owner. */
  obtain(ownerName: string): LeaseBook {
    const known = this.#books.get(ownerName);
    if (known !== undefined) {
      return known;
    }
    const book = new LeaseBook();
    this.#books.set(ownerName, book);
    return book;
  }

  /**
   * Ends the leases of a tenant that has no cap any more.
   *
   * @param tenantName Name of the tenant.
   */
  endLeases(tenantName: string): void {
    this.#books.forEach((book) => book.set(tenantName, false));
  }

  /**
   * Forgets asks without an answer, and owners that are no longer used. Gives up
   * telling owners that are not connected.
   *
   * @param nowMs Monotonic time, in ms.
   */
  update(nowMs: number): void {
    for (const [ownerName, book] of this.#books) {
      const isConnected = this.#view.isConnected(ownerName);
      book.forgetOpen(nowMs, !isConnected);
      if (!isConnected) {
        book.giveUp();
      }
      if (!book.isActive && nowMs - book.sentAtMs > UNUSED_MAX_MS) {
        this.#books.delete(ownerName);
      }
    }
  }

  /**
   * Moves a tenant to its owner, and leases the share to it when it may.
   *
   * @param tenant The tenant.
   * @param mayLease Whether this daemon leases shares yet.
   * @param nowMs Monotonic time, in ms.
   */
  moveTenant(tenant: TenantTokens, mayLease: boolean, nowMs: number): void {
    const { tenantName, pointer } = tenant;
    tenant.checkFormer(this.#view, nowMs);
    const isLeased = pointer.owner !== undefined &&
      this.obtain(pointer.owner).has(tenantName);
    const left = pointer.choose(this.#view, isLeased, nowMs);
    if (left !== undefined) {
      const book = this.obtain(left);
      tenant.handleMove();
      if (book.set(tenantName, false)) {
        pointer.hold(left, book.endsAtMs, book.listNumber);
      }
    }
    if (pointer.owner !== undefined && mayLease && pointer.mayLease(nowMs)) {
      this.obtain(pointer.owner).set(tenantName, true);
    }
  }

  /**
   * Counts the requests of a tenant for which no answer is to come.
   *
   * @param tenant The tenant.
   * @param nowMs Monotonic time, in ms.
   * @returns Number of requests.
   */
  unaskedCount({ tenantName, waiters }: TenantTokens, nowMs: number): number {
    let count = waiters.count;
    if (count > 0) {
      for (const book of this.#books.values()) {
        count -= book.openCount(tenantName, nowMs);
      }
    }
    return Math.max(0, count);
  }
}
