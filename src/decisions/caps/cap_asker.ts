/** Admits the requests of one daemon with tokens of the tenants' owners. */
import type { RandomSource } from "../../core/random.ts";
import { LEASE_RENEWAL_MS, type UsageCap, WAIT_MAX_MS } from "./cap_limits.ts";
import type {
  CapAsk,
  CapGrant,
  CapHeld,
  TenantAsk,
  TenantGrant,
} from "./cap_messages.ts";
import {
  chargeRequest,
  type EndUsage,
  type QueryStart,
} from "./charge_request.ts";
import { HeldReports } from "./held_reports.ts";
import type { LeaseBook } from "./lease_book.ts";
import { LeaseBooks } from "./lease_books.ts";
import { type KnownMembers, LeaseStart } from "./lease_start.ts";
import type { CandidateView } from "./owner_pointer.ts";
import { type GrantTimes, TenantTokens } from "./tenant_tokens.ts";
import type { CapDecision, CapWaiter } from "./tenant_waiters.ts";

export type { EndUsage, QueryStart } from "./charge_request.ts";

/** Minimum time between two asks to an owner while requests wait. */
const URGENT_INTERVAL_MS = 5;
/** Minimum time between two asks to an owner while no request waits. */
const ASK_INTERVAL_MS = 100;

/** Options of {@link CapAsker}. */
export type CapAskerOptions = {
  /** Connections of the daemon to the candidates. */
  view: CandidateView;
  /** Random number of this process. */
  processId: number;
  /** Monotonic time of the start of the process, in ms. */
  startedAtMs: number;
  /** Members that the daemon knows. */
  members: () => KnownMembers;
  random: RandomSource;
  /** Sends a message to an owner, which may be this daemon. */
  send: (ownerName: string, ask: CapAsk) => void;
  /** Sends a report to an owner, which may be this daemon. */
  sendHeld: (ownerName: string, held: CapHeld) => void;
};

/** Numbers since the start of an asker. */
export type AskerCounts = {
  readonly requestedCount: number;
  readonly returnedCount: number;
  readonly refusedCount: number;
};

/** Asks owners for tokens, holds small stocks and leases this daemon's share. */
export class CapAsker {
  readonly #options: CapAskerOptions;
  readonly #tenants = new Map<string, TenantTokens>();
  readonly #books: LeaseBooks;
  readonly #heldReports: HeldReports;
  readonly #leaseStart: LeaseStart;
  #requestedCount = 0;
  #returnedCount = 0;
  #refusedCount = 0;

  /**
   * @param options Connections, members, random numbers and transport.
   */
  constructor(options: CapAskerOptions) {
    this.#options = options;
    this.#books = new LeaseBooks(options.view);
    this.#heldReports = new HeldReports(options);
    this.#leaseStart = new LeaseStart(options.startedAtMs);
  }

  /** Numbers since the start. */
  get counts(): AskerCounts {
    return {
      requestedCount: this.#requestedCount,
      returnedCount: this.#returnedCount,
      refusedCount: this.#refusedCount,
    };
  }

  /** Owners that this daemon uses. */
  get owners(): ReadonlySet<string> {
    const owners = new Set<string>();
    for (const { pointer } of this.#tenants.values()) {
      if (pointer.owner !== undefined) {
        owners.add(pointer.owner);
      }
    }
    return owners;
  }

  /**
   * Applies the caps of a configuration. The tokens of a tenant whose cap has
   * changed are dropped.
   *
   * @param caps Caps by tenant.
   * @param nowMs Monotonic time, in ms.
   */
  applyCaps(caps: ReadonlyMap<string, UsageCap>, nowMs: number): void {
    for (const [tenantName, tenant] of this.#tenants) {
      const cap = caps.get(tenantName);
      if (cap === undefined) {
        tenant.admitAll();
        this.#tenants.delete(tenantName);
        this.#books.endLeases(tenantName);
      } else {
        tenant.applyCap(cap);
      }
    }
    for (const [tenantName, cap] of caps) {
      if (!this.#tenants.has(tenantName)) {
        const { random } = this.#options;
        this.#tenants.set(
          tenantName,
          new TenantTokens(tenantName, cap, random),
        );
      }
    }
    this.tick(nowMs);
  }

  /**
   * Decides on a request.
   *
   * @param tenantName Tenant of the request.
   * @param onDecision Called once, possibly before this method returns.
   * @param nowMs Monotonic time, in ms.
   * @param queryStart Asks for the start of an admitted request that has not ended
   *   long after its charge. The answer is given to the function that it is called
   *   with.
   * @returns Function to call once when the request ends, with the latest time at
   *   which an upstream has started it; undefined when it has certainly not run. It
   *   cancels a request that waits; after that, no upstream may start it.
   */
  admit(
    tenantName: string,
    onDecision: (decision: CapDecision) => void,
    nowMs: number,
    queryStart: QueryStart = () => {},
  ): EndUsage {
    const tenant = this.#tenants.get(tenantName);
    if (tenant === undefined) {
      onDecision({ isAdmitted: true });
      return () => {};
    }
    tenant.demand.record(nowMs);
    const { waiters, stock } = tenant;
    const stocked = waiters.count === 0 ? stock.take(nowMs) : undefined;
    if (stocked !== undefined) {
      const end = chargeRequest(tenant, stocked, { nowMs, queryStart });
      onDecision({ isAdmitted: true });
      return end;
    }
    let end: EndUsage | undefined;
    const waiter: CapWaiter = {
      sinceMs: nowMs,
      onDecision: (decision, token) => {
        if (token !== undefined) {
          end = chargeRequest(tenant, token, { nowMs, queryStart });
        }
        onDecision(decision);
      },
    };
    if (!waiters.add(waiter)) {
      this.#refusedCount++;
      onDecision(waiters.createRefusal());
      return () => {};
    }
    this.#askUrgently(tenant, nowMs);
    return (startedAtMs, endedAtMs) => {
      if (end !== undefined) {
        end(startedAtMs, endedAtMs);
      } else {
        waiters.remove(waiter);
      }
    };
  }

  /**
   * Chooses owners, renews leases, asks for stocks and returns expired tokens.
   * Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    this.#books.update(nowMs);
    const mayLease = this.#leaseStart.mayLease(this.#options.members(), nowMs);
    for (const tenant of this.#tenants.values()) {
      this.#books.moveTenant(tenant, mayLease, nowMs);
      tenant.stock.expire(nowMs);
      tenant.held.queryStarts(nowMs);
    }
    for (const [ownerName, book] of this.#books.entries) {
      this.#askOnceDue(ownerName, book, nowMs);
      this.#heldReports.reportOnceDue(
        ownerName,
        book,
        this.#tenants.values(),
        nowMs,
      );
    }
    this.step(nowMs);
  }

  /**
   * Asks for the requests that still wait, and refuses those that have waited
   * too long. Called when {@link CapAsker.dueAtMs} has come.
   *
   * @param nowMs Monotonic time, in ms.
   */
  step(nowMs: number): void {
    for (const tenant of this.#tenants.values()) {
      if (tenant.waiters.count > 0) {
        this.#refusedCount += tenant.waiters.refuseOverdue(nowMs);
        this.#askUrgently(tenant, nowMs);
      }
    }
  }

  /**
   * Returns when {@link CapAsker.step} is to be called next.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Monotonic time, in ms; undefined while no request waits.
   */
  dueAtMs(nowMs: number): number | undefined {
    let dueAtMs: number | undefined;
    for (const tenant of this.#tenants.values()) {
      const { firstDeadlineMs } = tenant.waiters;
      if (firstDeadlineMs === undefined) {
        continue;
      }
      const askAtMs = this.#books.unaskedCount(tenant, nowMs) > 0
        ? Math.max(tenant.askAgainAtMs, nowMs + URGENT_INTERVAL_MS)
        : Infinity;
      dueAtMs = Math.min(dueAtMs ?? Infinity, firstDeadlineMs, askAtMs);
    }
    return dueAtMs;
  }

  /**
   * Handles the answer of an owner. Duplicates and answers to unknown asks are
   * ignored.
   *
   * @param ownerName Name of the owner; may be this daemon.
   * @param grant The answer.
   * @param nowMs Monotonic time, in ms.
   */
  handleGrant(ownerName: string, grant: CapGrant, nowMs: number): void {
    const book = this.#books.get(ownerName);
    if (grant.processId !== this.#options.processId || book === undefined) {
      return;
    }
    const ask = book.answer(grant.sequence, grant.listNumber);
    if (ask === undefined) {
      return;
    }
    for (const tenant of this.#tenants.values()) {
      tenant.pointer.release(ownerName, grant.listNumber);
    }
    for (const tenantGrant of grant.tenants) {
      const tenant = this.#tenants.get(tenantGrant.tenantName);
      if (tenant !== undefined) {
        tenant.handleAnswer(ownerName);
        const times = { ownerName, askedAtMs: ask.sentAtMs, nowMs };
        tenant.addGranted(tenantGrant.grantedCount, times);
        tenant.carry(tenantGrant.carriedCount, nowMs);
        this.#handleDenied(tenant, tenantGrant, times);
      }
    }
  }

  #handleDenied(
    tenant: TenantTokens,
    { deniedCount, roomInMs }: TenantGrant,
    { ownerName, askedAtMs, nowMs }: GrantTimes,
  ): void {
    if (deniedCount === 0) {
      return;
    }
    if (!tenant.waiters.hasWaitedSince(askedAtMs)) {
      // The requests that the owner was asked for have left.
      this.#askUrgently(tenant, nowMs);
      return;
    }
    const isFormerLeft = tenant.deny(
      ownerName,
      roomInMs,
      this.#options.view,
      nowMs,
    );
    if (isFormerLeft) {
      this.#askUrgently(tenant, nowMs);
    } else if (roomInMs > WAIT_MAX_MS) {
      this.#refusedCount += tenant.waiters.refuseFirst(
        deniedCount,
        askedAtMs,
      );
    }
  }

  #askUrgently(tenant: TenantTokens, nowMs: number): void {
    tenant.checkFormer(this.#options.view, nowMs);
    const ownerName = tenant.askedOwner;
    if (
      ownerName === undefined || nowMs < tenant.askAgainAtMs ||
      this.#books.unaskedCount(tenant, nowMs) === 0
    ) {
      return;
    }
    const book = this.#books.obtain(ownerName);
    const isOwn = ownerName === this.#options.view.ownName;
    if (isOwn || nowMs - book.sentAtMs >= URGENT_INTERVAL_MS) {
      this.#ask(ownerName, book, nowMs);
    }
  }

  /** Renews the lease and asks for stocks, while no request waits. */
  #askOnceDue(ownerName: string, book: LeaseBook, nowMs: number): void {
    const { view } = this.#options;
    const passedMs = nowMs - book.sentAtMs;
    if (passedMs < ASK_INTERVAL_MS || !view.isConnected(ownerName)) {
      return;
    }
    const isLeaseDue = book.isActive &&
      (passedMs >= LEASE_RENEWAL_MS || book.unacknowledged !== undefined);
    const hasWants = [...this.#tenants.values()].some((tenant) =>
      tenant.askedOwner === ownerName && tenant.wantsPrefetch(nowMs)
    );
    if (isLeaseDue || hasWants) {
      this.#ask(ownerName, book, nowMs);
    }
  }

  #ask(ownerName: string, book: LeaseBook, nowMs: number): void {
    const waitingCounts = new Map<string, number>();
    const tenants: TenantAsk[] = [];
    for (const tenant of this.#tenants.values()) {
      const isAsked = tenant.askedOwner === ownerName;
      const waitingCount = isAsked && nowMs >= tenant.askAgainAtMs
        ? this.#books.unaskedCount(tenant, nowMs)
        : 0;
      const ask = tenant.createAsk(ownerName, waitingCount, nowMs);
      if (ask !== undefined) {
        tenants.push(ask);
        waitingCounts.set(tenant.tenantName, waitingCount);
        this.#requestedCount += waitingCount + ask.prefetchCount;
        this.#returnedCount += ask.returnedCount;
      }
    }
    const sequence = book.nextSequence(nowMs);
    book.open(sequence, { sentAtMs: nowMs, waitingCounts });
    const { processId, members, send } = this.#options;
    send(ownerName, {
      processId,
      sequence,
      sentAtMs: nowMs,
      membersCount: members().count,
      listNumber: book.listNumber,
      leasedTenants: book.unacknowledged,
      tenants,
    });
  }
}
