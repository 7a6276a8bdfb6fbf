/** History of owners with a lag, for simulations. */
import type { OwnerHistory, OwnerList } from "../decisions/key_owner.ts";

/** Periods as one daemon sees them, each a fixed lag after its start. */
export class LaggedOwners implements OwnerHistory {
  readonly #periods: readonly OwnerList[];
  readonly #lagMs: number;
  readonly #nowEpochMs: () => number;

  /**
   * @param periods Periods with their true start.
   * @param lagMs Time until the daemon sees a period, in ms.
   * @param options Reads the time up to which the daemon has seen periods.
   */
  constructor(
    periods: readonly OwnerList[],
    lagMs: number,
    { nowEpochMs }: { nowEpochMs: () => number },
  ) {
    this.#periods = periods;
    this.#lagMs = lagMs;
    this.#nowEpochMs = nowEpochMs;
  }

  /** @inheritdoc */
  lists(
    _pool: string,
    _dataCentre: string,
    fromEpochMs: number,
  ): readonly OwnerList[] {
    const seen = this.#periods
      .filter((period) =>
        period.sinceEpochMs + this.#lagMs <= this.#nowEpochMs()
      )
      .map((period) => ({
        ...period,
        sinceEpochMs: period.sinceEpochMs + this.#lagMs,
      }));
    const first = seen.findLastIndex((one) => one.sinceEpochMs <= fromEpochMs);
    return first < 0 ? [] : seen.slice(first);
  }
}
