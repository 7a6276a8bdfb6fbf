/** Requests of one tenant that upstreams may start within one window. */
import { bucketDepth, type UsageCap } from "./cap_limits.ts";

const MS_PER_S = 1_000;
/** Span whose grants are summed up. */
const CELL_MS = 100;
/**
 * Time for which grants are counted, in windows. Tokens are used up to 400 ms after
 * they were granted. A full bucket grants no more in that time than is allowed, so
 * that the limit takes effect only as far as there are older requests.
 */
const COUNTED_RATIO = 1.1;

type Held = { readonly count: number; readonly atMs: number };

/**
 * Limits the grants of one owner so that the recent ones, and the older requests
 * that wait in queues of upstreams or have left them within the window, are at
 * most as many as a full bucket grants in that time. Without such older requests
 * the bucket itself sees to that.
 */
export class GrantWindow {
  readonly #cells: { readonly atMs: number; count: number }[] = [];
  readonly #held = new Map<string, Held>();
  #count = 0;

  /**
   * Counts granted tokens.
   *
   * @param count Tokens.
   * @param nowMs Monotonic time, in ms.
   */
  add(count: number, nowMs: number): void {
    if (count <= 0) {
      return;
    }
    const last = this.#cells.at(-1);
    if (last !== undefined && nowMs - last.atMs < CELL_MS) {
      last.count += count;
    } else {
      this.#cells.push({ atMs: nowMs, count });
    }
    this.#count += count;
  }

  /**
   * Removes tokens that were returned unused, from the newest grants whose tokens
   * have expired.
   *
   * @param count Tokens.
   * @param expiredUntilMs Time up to which granted tokens have expired, in ms.
   */
  remove(count: number, expiredUntilMs: number): void {
    let left = count;
    for (let index = this.#cells.length - 1; index >= 0; index--) {
      const cell = this.#cells[index]!;
      if (cell.atMs > expiredUntilMs) {
        continue;
      }
      const removed = Math.min(left, cell.count);
      cell.count -= removed;
      this.#count -= removed;
      left -= removed;
    }
  }

  /**
   * Reduces the counted grants with the share of the owner: the members that leave
   * it take their part along.
   *
   * @param ratio Remaining part, from 0 to 1.
   */
  scale(ratio: number): void {
    this.#count = 0;
    for (const cell of this.#cells) {
      cell.count *= ratio;
      this.#count += cell.count;
    }
  }

  /**
   * Records the older requests of a member.
   *
   * @param memberName Name of the member.
   * @param count Requests.
   * @param nowMs Monotonic time, in ms.
   */
  setHeld(memberName: string, count: number, nowMs: number): void {
    if (count > 0) {
      this.#held.set(memberName, { count, atMs: nowMs });
    } else {
      this.#held.delete(memberName);
    }
  }

  /**
   * Computes how many tokens may be granted.
   *
   * @param cap Cap of the tenant.
   * @param share Share of this owner, from 0 to 1.
   * @param nowMs Monotonic time, in ms.
   * @returns Tokens; infinite without older requests.
   */
  roomCount(cap: UsageCap, share: number, nowMs: number): number {
    const spanMs = cap.windowMs * COUNTED_RATIO;
    while (
      this.#cells[0] !== undefined && nowMs - this.#cells[0].atMs > spanMs
    ) {
      this.#count -= this.#cells.shift()!.count;
    }
    let heldCount = 0;
    for (const [memberName, { count, atMs }] of this.#held) {
      if (nowMs - atMs > cap.windowMs) {
        this.#held.delete(memberName);
      } else {
        heldCount += count;
      }
    }
    if (heldCount === 0) {
      return Infinity;
    }
    const earnedCount = cap.ratePerS * spanMs / MS_PER_S;
    const maxCount = (earnedCount + bucketDepth(cap)) * share;
    return Math.max(0, maxCount - this.#count - heldCount);
  }
}
