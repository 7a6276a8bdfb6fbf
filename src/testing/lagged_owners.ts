/** History of key owners with a lag, for simulations. */
import type { OwnerHistory, OwnerList } from "../decisions/keys/key_owner.ts";

/** History of a daemon that learns of each period a fixed time after its start. */
export class LaggedOwners implements OwnerHistory {
  readonly #periods: readonly OwnerList[];
  readonly #lagMs: number;
  readonly #nowEpochMs: () => number;

  /**
   * @param periods Periods with their true start.
   * @param lagMs Time from the start of a period until the daemon learns of it,
   * in ms.
   * @param options Reads the daemon's time; it stands still while the daemon
   * learns of no periods.
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
