/** State of one tenant at one daemon. */
import type { RandomSource } from "../../core/random.ts";
import {
  isSameCap,
  tokenLifetimeMs,
  type UsageCap,
  WAIT_MAX_MS,
} from "./cap_limits.ts";
import type { TenantAsk } from "./cap_messages.ts";
import { DemandMeter } from "./demand_meter.ts";
import { HeldCharges } from "./held_charges.ts";
import { type CandidateView, OwnerPointer } from "./owner_pointer.ts";
import { TenantWaiters } from "./tenant_waiters.ts";
import { TokenStock } from "./token_stock.ts";

/** Demand for which a stock is held, in s. */
const STOCK_S = 0.25;
/**
 * Demand from which on a stock is held. Below it, most tokens of a stock would
 * expire, and a small cap would be spread over many daemons.
 */
const STOCK_DEMAND_MIN_PER_S = 8;
/** Minimum time between two wishes for the stock. */
const PREFETCH_INTERVAL_MS = 100;
/** Time without prefetching after an owner has granted less than was wanted. */
const PREFETCH_PAUSE_MS = 500;
/** Minimum time until an owner that had no token is asked again. */
const ASK_AGAIN_MIN_MS = 20;
/** Time after which tokens that were brought from another owner are dropped. */
const CARRY_MAX_MS = 1_000;

/** Origin and times of granted tokens. */
export type GrantTimes = {
  ownerName: string;
  /** Monotonic time at which they were asked for, in ms. */
  askedAtMs: number;
  nowMs: number;
};

/** Stock, waiting requests, demand and owner of one tenant. */
export class TenantTokens {
  readonly tenantName: string;
  readonly pointer: OwnerPointer;
  readonly stock = new TokenStock();
  readonly demand = new DemandMeter();
  readonly waiters: TenantWaiters;
  readonly held: HeldCharges;
  #cap: UsageCap;
  #formerAsked: string | undefined;
  #carriedCount = 0;
  #carriedAtMs = -Infinity;
  #prefetchAtMs = -Infinity;
  /** Monotonic time before which waiting requests are not asked for, in ms. */
  askAgainAtMs = -Infinity;

  /**
   * @param tenantName Name of the tenant.
   * @param cap Its cap.
   * @param random Random numbers that spread refused callers.
   */
  constructor(tenantName: string, cap: UsageCap, random: RandomSource) {
    this.tenantName = tenantName;
    this.#cap = cap;
    this.pointer = new OwnerPointer(tenantName);
    this.waiters = new TenantWaiters(random);
    this.held = new HeldCharges(cap.windowMs);
  }

  /** Owner that is asked next: the owner or, after a move, the former one. */
  get askedOwner(): string | undefined {
    return this.#formerAsked ?? this.pointer.owner;
  }

  /**
   * Applies a cap; a changed one drops the stock.
   *
   * @param cap New cap.
   */
  applyCap(cap: UsageCap): void {
    if (!isSameCap(cap, this.#cap)) {
      this.#cap = cap;
      this.stock.clear();
      this.#carriedCount = 0;
      this.waiters.roomInMs = 0;
    }
  }

  /** Admits all waiting requests, because the tenant has no cap any more. */
  admitAll(): void {
    while (this.waiters.count > 0) {
      this.waiters.admitFirst();
    }
  }

  /** Starts anew after a change of the owner. */
  handleMove(): void {
    this.#formerAsked = undefined;
    this.askAgainAtMs = -Infinity;
  }

  /**
   * Returns to the owner after an answer of the former one, so that the former
   * one is only asked for requests that the owner has denied.
   *
   * @param ownerName Name of the owner that has answered.
   */
  handleAnswer(ownerName: string): void {
    if (ownerName === this.#formerAsked) {
      this.#formerAsked = undefined;
    }
  }

  /**
   * Returns to the owner when the former one is lost or was left long ago.
   * Otherwise, requests would wait for answers that never come.
   *
   * @param view Connections to the candidates.
   * @param nowMs Monotonic time, in ms.
   */
  checkFormer(view: CandidateView, nowMs: number): void {
    if (
      this.#formerAsked !== undefined &&
      (this.#formerAsked !== this.pointer.recentFormer(nowMs) ||
        !view.isConnected(this.#formerAsked))
    ) {
      this.#formerAsked = undefined;
    }
  }

  /**
   * Adds granted tokens: to waiting requests first, then to the stock.
   *
   * @param count Tokens.
   * @param times Owner and times.
   */
  addGranted(
    count: number,
    { ownerName, askedAtMs, nowMs }: GrantTimes,
  ): void {
    if (count > 0) {
      this.waiters.roomInMs = 0;
    }
    const expiresAtMs = askedAtMs + tokenLifetimeMs(this.#cap);
    if (expiresAtMs <= nowMs) {
      this.stock.addExpired(count, ownerName);
      return;
    }
    const admittedCount = Math.min(count, this.waiters.count);
    this.stock.add(count - admittedCount, ownerName, expiresAtMs);
    for (let index = 0; index < admittedCount; index++) {
      this.waiters.admitFirst({ ownerName, expiresAtMs });
    }
  }

  /**
   * Keeps tokens of a former owner for the new one.
   *
   * @param count Tokens.
   * @param nowMs Monotonic time, in ms.
   */
  carry(count: number, nowMs: number): void {
    if (count > 0) {
      this.#carriedCount = count;
      this.#carriedAtMs = nowMs;
    }
  }

  /**
   * Notes that an owner had too few tokens.
   *
   * @param ownerName Name of the owner.
   * @param roomInMs Time until its bucket has room, in ms.
   * @param view Connections to the candidates.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the former owner is asked next.
   */
  deny(
    ownerName: string,
    roomInMs: number,
    view: CandidateView,
    nowMs: number,
  ): boolean {
    this.waiters.roomInMs = roomInMs;
    this.#prefetchAtMs = nowMs + PREFETCH_PAUSE_MS;
    const former = this.pointer.recentFormer(nowMs);
    if (
      ownerName === this.pointer.owner && former !== undefined &&
      view.isConnected(former)
    ) {
      this.#formerAsked = former;
      return true;
    }
    this.#formerAsked = undefined;
    const waitMs = Math.min(WAIT_MAX_MS, roomInMs);
    this.askAgainAtMs = nowMs + Math.max(ASK_AGAIN_MIN_MS, waitMs);
    return false;
  }

  /**
   * Returns whether the stock is low.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns True when tokens should be asked for although no request waits.
   */
  wantsPrefetch(nowMs: number): boolean {
    return this.#prefetchCount(nowMs) > 0;
  }

  /**
   * Creates this tenant's part of an ask.
   *
   * @param ownerName Owner that is asked.
   * @param waitingCount Requests to ask for.
   * @param nowMs Monotonic time, in ms.
   * @returns The part; undefined when there is nothing to say.
   */
  createAsk(
    ownerName: string,
    waitingCount: number,
    nowMs: number,
  ): TenantAsk | undefined {
    const prefetchCount = this.askedOwner === ownerName
      ? this.#prefetchCount(nowMs)
      : 0;
    const returnedCount = this.stock.takeExpired(ownerName);
    const carriedCount = this.#takeCarried(ownerName, nowMs);
    if (waitingCount + prefetchCount + returnedCount + carriedCount === 0) {
      return undefined;
    }
    if (prefetchCount > 0) {
      this.#prefetchAtMs = nowMs + PREFETCH_INTERVAL_MS;
    }
    const { tenantName } = this;
    return {
      tenantName,
      waitingCount,
      prefetchCount,
      returnedCount,
      carriedCount,
    };
  }

  /** Tokens that are missing to the stock, once at least half are missing. */
  #prefetchCount(nowMs: number): number {
    const demandPerS = this.demand.ratePerS(nowMs);
    if (demandPerS < STOCK_DEMAND_MIN_PER_S || nowMs < this.#prefetchAtMs) {
      return 0;
    }
    const targetCount = Math.ceil(demandPerS * STOCK_S);
    const missingCount = targetCount - this.stock.count;
    return missingCount * 2 >= targetCount ? missingCount : 0;
  }

  #takeCarried(ownerName: string, nowMs: number): number {
    if (ownerName !== this.pointer.owner || !this.pointer.mayLease(nowMs)) {
      return 0;
    }
    const count = nowMs - this.#carriedAtMs < CARRY_MAX_MS
      ? this.#carriedCount
      : 0;
    this.#carriedCount = 0;
    return count;
  }
}
