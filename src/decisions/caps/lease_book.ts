/** What one daemon has told one owner, and the answers that are to come. */
import { LEASE_GUARD_MS, LEASE_MS, WAIT_MAX_MS } from "./cap_limits.ts";

/** An ask that the owner has not answered yet. */
export type OpenAsk = {
  readonly sentAtMs: number;
  /** Requests for which a token was asked, by tenant. */
  readonly waitingCounts: ReadonlyMap<string, number>;
};

/** An answer that takes longer is not waited for. */
const OPEN_MAX_MS = 2_000;

/** Numbered messages to one owner and the tenants leased to it. */
export class LeaseBook {
  readonly #leased = new Set<string>();
  readonly #open = new Map<number, OpenAsk>();
  #sequence = 0;
  #isAcknowledged = true;
  /** Number of the list of leased tenants; rises with each change. */
  listNumber = 0;
  /** Monotonic time of the last message, each of which renews the lease. */
  sentAtMs = -Infinity;

  /** Monotonic time of the last report on held requests. */
  heldSentAtMs = -Infinity;
  /** Number of the last report on held requests. */
  heldSequence = 0;
  /** Whether the last report on held requests named any. */
  hasHeld = false;

  /** Whether any tenant is leased, or the owner still has to learn a change. */
  get isActive(): boolean {
    return this.#leased.size > 0 || !this.#isAcknowledged;
  }

  /** Monotonic time until which the owner may count the lease, in ms. */
  get endsAtMs(): number {
    return this.sentAtMs + LEASE_MS + LEASE_GUARD_MS;
  }

  /** Leased tenants that the owner has to be told; undefined if it knows them. */
  get unacknowledged(): string[] | undefined {
    return this.#isAcknowledged ? undefined : [...this.#leased];
  }

  /** Whether a tenant is leased to the owner. */
  has(tenantName: string): boolean {
    return this.#leased.has(tenantName);
  }

  /**
   * Adds or removes a tenant.
   *
   * @param tenantName Name of the tenant.
   * @param isLeased Whether it is leased from now on.
   * @returns Whether that was a change.
   */
  set(tenantName: string, isLeased: boolean): boolean {
    if (this.#leased.has(tenantName) === isLeased) {
      return false;
    }
    if (isLeased) {
      this.#leased.add(tenantName);
    } else {
      this.#leased.delete(tenantName);
    }
    this.listNumber++;
    this.#isAcknowledged = false;
    return true;
  }

  /** Gives up telling an owner that cannot be reached. */
  giveUp(): void {
    if (this.#leased.size === 0) {
      this.#isAcknowledged = true;
    }
  }

  /** Numbers a message that is sent now. */
  nextSequence(nowMs: number): number {
    this.sentAtMs = nowMs;
    return ++this.#sequence;
  }

  /** Remembers an ask until it is answered. */
  open(sequence: number, ask: OpenAsk): void {
    this.#open.set(sequence, ask);
  }

  /**
   * Ends an ask that the owner has answered.
   *
   * @param sequence Number of the ask.
   * @param listNumber List that the owner uses.
   * @returns The ask; undefined for a duplicate or very late answer.
   */
  answer(sequence: number, listNumber: number): OpenAsk | undefined {
    const ask = this.#open.get(sequence);
    this.#open.delete(sequence);
    if (ask !== undefined && listNumber === this.listNumber) {
      this.#isAcknowledged = true;
    } else if (ask !== undefined && listNumber < 0) {
      this.#isAcknowledged = false;
    }
    return ask;
  }

  /**
   * Counts the waiting requests of a tenant for which an answer is to come. An
   * ask that was lost does not count after the longest time that a request waits.
   *
   * @param tenantName Name of the tenant.
   * @param nowMs Monotonic time, in ms.
   * @returns Number of requests.
   */
  openCount(tenantName: string, nowMs: number): number {
    let count = 0;
    for (const { sentAtMs, waitingCounts } of this.#open.values()) {
      if (nowMs - sentAtMs < WAIT_MAX_MS) {
        count += waitingCounts.get(tenantName) ?? 0;
      }
    }
    return count;
  }

  /** Forgets asks without an answer; all of them when the link was lost. */
  forgetOpen(nowMs: number, isLost: boolean): void {
    for (const [sequence, { sentAtMs }] of this.#open) {
      if (isLost || nowMs - sentAtMs > OPEN_MAX_MS) {
        this.#open.delete(sequence);
      }
    }
  }
}
