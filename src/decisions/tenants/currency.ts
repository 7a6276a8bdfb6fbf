/** Currency of the configuration: as of when it was surely the newest. */
import { ElapsedClock, type Instant } from "./elapsed_clock.ts";

/**
 * Age from which a daemon that does not watch the store reads it itself. Peers
 * are asked once a second, and their own currency is at most about 1.2 s old.
 */
export const CURRENCY_OLD_MS = 2_500;
/**
 * The same for a daemon that watches the store. A watch proves the moment at
 * which it was sent, 1.2 s before its end, which alone would let the currency of
 * the daemons that ask this one grow over 2.5 s.
 */
const WATCHER_CURRENCY_OLD_MS = 1_000;
/** Minimum time between two reads of the store for the currency. */
const READ_INTERVAL_MIN_MS = 1_000;

/**
 * Latest moment as of which the configuration in force was surely the newest
 * one that the store had accepted.
 */
export class Currency {
  readonly #clock = new ElapsedClock();
  #asOfMs = -Infinity;

  /**
   * Records that the configuration in force was the newest at a moment.
   *
   * @param sent Moment at which the call or query was sent that proves it.
   * @param now Present moment.
   * @param peerAgeMs Age of the currency of the peer that answered the query, in
   *   ms; 0 for a call to the store.
   */
  prove(sent: Instant, now: Instant, peerAgeMs = 0): void {
    const callMs = Math.max(
      0,
      now.monotonicMs - sent.monotonicMs,
      now.wallMs - sent.wallMs,
    );
    const asOfMs = this.elapsedMs(now) - callMs - peerAgeMs;
    this.#asOfMs = Math.max(this.#asOfMs, asOfMs);
  }

  /**
   * Returns the time since the configuration was surely the newest.
   *
   * @param now Present moment.
   * @returns Age in ms; infinite before the first proof.
   */
  ageMs(now: Instant): number {
    return this.elapsedMs(now) - this.#asOfMs;
  }

  /**
   * Returns the elapsed time, suspensions of the machine included.
   *
   * @param now Present moment.
   * @returns Time since an arbitrary start, in ms.
   */
  elapsedMs(now: Instant): number {
    return this.#clock.elapsedMs(now);
  }
}

/**
 * Decides whether a daemon reads the store to renew its currency.
 *
 * @param state Age of the currency and time since the last such read, in ms, and
 *   whether the daemon watches the store closely.
 * @returns True when a read is due.
 */
export function isReadDue(
  { ageMs, sinceReadMs, isWatching }: {
    ageMs: number;
    sinceReadMs: number;
    isWatching: boolean;
  },
): boolean {
  const oldMs = isWatching ? WATCHER_CURRENCY_OLD_MS : CURRENCY_OLD_MS;
  return sinceReadMs >= READ_INTERVAL_MIN_MS && ageMs > oldMs;
}
