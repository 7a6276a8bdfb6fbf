/** Token bucket of one tenant at one of its owners. */
import {
  bucketDepth,
  isSameCap,
  prefetchMaxCount,
  tokenLifetimeMs,
  type UsageCap,
  WAIT_MAX_MS,
} from "./cap_limits.ts";
import { GrantWindow } from "./grant_window.ts";

const MS_PER_S = 1_000;
/** Level, as a part of the depth, from which on tokens are prefetched. */
const COMFORTABLE_RATIO = 0.5;
/** Part of the refill that is reckoned for callers that were told to return. */
const RETURNING_RATIO = 0.5;
/** Maximum time until the bucket has room that is told to callers. */
const ROOM_MAX_MS = 10_000;

/**
 * Time that is told to callers while older requests leave no room in the window.
 */
const WINDOW_ROOM_MS = 1_000;
/** Time that is told to callers while no member leases to this owner. */
const NO_SHARE_ROOM_MS = 2_000;

type Prefetch = { readonly atMs: number; readonly count: number };

/**
 * Bucket that starts empty. Its rate and depth are those of the tenant times the
 * share of the members that lease their share to this owner. All owners of a
 * tenant have thus at most one full bucket together.
 */
export class CapBucket {
  #cap: UsageCap;
  #share = 0;
  #level = 0;
  #refilledAtMs: number;
  /** Callers that were told to return and may not have returned yet. */
  #returningCount = 0;
  #prefetches: Prefetch[] = [];
  /** Granted tokens, and requests that have started or may start long after. */
  readonly window = new GrantWindow();

  /**
   * @param cap Cap of the tenant.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(cap: UsageCap, nowMs: number) {
    this.#cap = cap;
    this.#refilledAtMs = nowMs;
  }

  /** Share of the members that lease to this owner, from 0 to 1. */
  get share(): number {
    return this.#share;
  }

  /** Tokens at the last refill. */
  get level(): number {
    return this.#level;
  }

  get #depth(): number {
    return bucketDepth(this.#cap) * this.#share;
  }

  /**
   * Changes the cap. Tokens above the new depth are dropped at once; a lowered
   * depth or rate also reduces the tokens in proportion.
   *
   * @param cap New cap.
   * @param nowMs Monotonic time, in ms.
   */
  changeCap(cap: UsageCap, nowMs: number): void {
    if (isSameCap(cap, this.#cap)) {
      return;
    }
    this.refill(nowMs);
    const ratio = Math.min(
      1,
      bucketDepth(cap) / bucketDepth(this.#cap),
      cap.ratePerS / this.#cap.ratePerS,
    );
    this.#cap = cap;
    this.#level = Math.min(this.#level * ratio, this.#depth);
    this.#returningCount = 0;
  }

  /**
   * Changes the share. Tokens above the new depth are dropped.
   *
   * @param share New share, from 0 to 1.
   * @param nowMs Monotonic time, in ms.
   */
  changeShare(share: number, nowMs: number): void {
    this.refill(nowMs);
    if (share < this.#share) {
      this.window.scale(share / this.#share);
    }
    this.#share = Math.min(1, share);
    this.#level = Math.min(this.#level, this.#depth);
  }

  /**
   * Adds the tokens that have been earned since the last call.
   *
   * @param nowMs Monotonic time, in ms.
   */
  refill(nowMs: number): void {
    const passedS = Math.max(0, nowMs - this.#refilledAtMs) / MS_PER_S;
    this.#refilledAtMs = Math.max(nowMs, this.#refilledAtMs);
    const earned = passedS * this.#cap.ratePerS * this.#share;
    this.#level = Math.min(this.#depth, this.#level + earned);
    this.#returningCount = Math.max(
      0,
      this.#returningCount - earned * RETURNING_RATIO,
    );
  }

  /**
   * Takes tokens for requests that wait.
   *
   * @param count Requests that wait.
   * @param nowMs Monotonic time, in ms.
   * @returns Granted tokens, at most `count`.
   */
  take(count: number, nowMs: number): number {
    this.refill(nowMs);
    const granted = Math.min(
      count,
      Math.floor(Math.min(this.#level, this.#windowRoom(nowMs))),
    );
    this.#level -= granted;
    this.window.add(granted, nowMs);
    return granted;
  }

  /**
   * Takes tokens for the stock of a member, as long as the bucket stays
   * comfortably full and not too many tokens are in stocks.
   *
   * @param count Tokens that the member wants.
   * @param nowMs Monotonic time, in ms.
   * @returns Granted tokens, at most `count`.
   */
  prefetch(count: number, nowMs: number): number {
    this.refill(nowMs);
    const lifetimeMs = tokenLifetimeMs(this.#cap);
    this.#prefetches = this.#prefetches
      .filter(({ atMs }) => nowMs - atMs < lifetimeMs);
    const recentCount = this.#prefetches
      .reduce((sum, prefetch) => sum + prefetch.count, 0);
    const granted = Math.max(
      0,
      Math.floor(Math.min(
        count,
        this.#level - this.#depth * COMFORTABLE_RATIO,
        prefetchMaxCount(this.#cap) * this.#share - recentCount,
        this.#windowRoom(nowMs),
      )),
    );
    if (granted > 0) {
      this.#prefetches.push({ atMs: nowMs, count: granted });
      this.#level -= granted;
      this.window.add(granted, nowMs);
    }
    return granted;
  }

  /**
   * Adds tokens that a member returns unused, up to the depth.
   *
   * @param count Tokens.
   * @param nowMs Monotonic time, in ms.
   */
  takeBack(count: number, nowMs: number): void {
    this.credit(count, nowMs);
    this.window.remove(count, nowMs - tokenLifetimeMs(this.#cap));
  }

  /**
   * Adds tokens that a member brings from another owner, up to the depth.
   *
   * @param count Tokens.
   * @param nowMs Monotonic time, in ms.
   */
  credit(count: number, nowMs: number): void {
    this.refill(nowMs);
    this.#level = Math.min(this.#depth, this.#level + count);
  }

  /**
   * Removes the part of a member that leaves for another owner.
   *
   * @param part Part of the tokens, from 0 to 1.
   * @param nowMs Monotonic time, in ms.
   * @returns Removed tokens.
   */
  removePart(part: number, nowMs: number): number {
    this.refill(nowMs);
    const removed = this.#level * part;
    this.#level -= removed;
    return removed;
  }

  /**
   * Computes when the bucket will have room, after the requests that were told
   * to return before. Requests for which that is too long to wait are counted as
   * told to return.
   *
   * @param count Requests without a token.
   * @returns Time until there is room, in ms.
   */
  roomInMs(count: number): number {
    const ratePerS = this.#cap.ratePerS * this.#share;
    if (ratePerS <= 0) {
      return NO_SHARE_ROOM_MS;
    }
    const missing = Math.max(0, 1 - this.#level) + this.#returningCount;
    const roomMs = Math.max(
      missing / ratePerS * MS_PER_S,
      this.#windowRoom(this.#refilledAtMs) < 1 ? WINDOW_ROOM_MS : 0,
    );
    if (roomMs > WAIT_MAX_MS) {
      // The backlog is bounded, so that callers that never return do not delay
      // the others.
      this.#returningCount = Math.min(
        this.#returningCount + count,
        ratePerS * ROOM_MAX_MS / MS_PER_S,
      );
    }
    return Math.min(ROOM_MAX_MS, Math.ceil(roomMs));
  }

  #windowRoom(nowMs: number): number {
    return this.window.roomCount(this.#cap, this.#share, nowMs);
  }
}
