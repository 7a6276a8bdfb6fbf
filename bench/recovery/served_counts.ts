/** Served and offered requests of callers by route and time of arrival. */

type Counts = { offered: number; served: number };

const INTERVAL_MS = 1_000;

/** Counts the requests that arrived in each second. */
export class ServedCounts {
  readonly #byRoute = new Map<string, Map<number, Counts>>();

  /** Counts an arrived request. */
  recordOffered(routeName: string, arrivedAtMs: number): void {
    this.#countsOf(routeName, arrivedAtMs).offered++;
  }

  /** Counts a request that was answered with success. */
  recordServed(routeName: string, arrivedAtMs: number): void {
    this.#countsOf(routeName, arrivedAtMs).served++;
  }

  /**
   * Computes the served share of the requests that arrived in a time.
   *
   * @param fromMs Start, a whole second.
   * @param untilMs End, a whole second.
   * @param routeName Only requests of this route; all without it.
   * @returns Share from 0 to 1; 1 without requests.
   */
  servedRatio(fromMs: number, untilMs: number, routeName?: string): number {
    let offered = 0;
    let served = 0;
    for (const [name, bySecond] of this.#byRoute) {
      if (routeName !== undefined && name !== routeName) {
        continue;
      }
      for (const [second, counts] of bySecond) {
        const startMs = second * INTERVAL_MS;
        if (startMs >= fromMs && startMs < untilMs) {
          offered += counts.offered;
          served += counts.served;
        }
      }
    }
    return offered === 0 ? 1 : served / offered;
  }

  #countsOf(routeName: string, arrivedAtMs: number): Counts {
    const bySecond = this.#byRoute.get(routeName) ?? new Map<number, Counts>();
    this.#byRoute.set(routeName, bySecond);
    const second = Math.floor(arrivedAtMs / INTERVAL_MS);
    const counts = bySecond.get(second) ?? { offered: 0, served: 0 };
    bySecond.set(second, counts);
    return counts;
  }
}
