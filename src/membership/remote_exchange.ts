/** Paces the exchange between the readers of data centres. */
import type { ReaderRanks } from "./reader_ranks.ts";

/** Time between two exchanges with other data centres, in ms. */
export const EXCHANGE_INTERVAL_MS = 1_000;

/**
 * Takes the other data centres in turn, one per interval, so that after a
 * partition each reader does at most one full exchange per second.
 */
export class RemoteExchange {
  readonly #ranks: ReaderRanks;
  readonly #dataCentre: string;
  /** Failures in a row by data centre; each moves on to the next candidate. */
  readonly #failuresCount = new Map<string, number>();
  #nextIndex = 0;
  #nextMs: number;

  /**
   * @param ranks Readers of all data centres.
   * @param options Own data centre and the monotonic time, in ms.
   */
  constructor(
    ranks: ReaderRanks,
    options: { dataCentre: string; nowMs: number },
  ) {
    this.#ranks = ranks;
    this.#dataCentre = options.dataCentre;
    this.#nextMs = options.nowMs;
  }

  /** Other data centres with live members, sorted. */
  listDataCentres(): string[] {
    return this.#ranks.listDataCentres()
      .filter((dataCentre) => dataCentre !== this.#dataCentre);
  }

  /**
   * Takes the member of another data centre to compare with.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Instance id, or undefined when none is due.
   */
  takeDue(nowMs: number): string | undefined {
    const dataCentres = this.listDataCentres();
    if (nowMs < this.#nextMs || dataCentres.length === 0) {
      return undefined;
    }
    this.#nextMs = nowMs + EXCHANGE_INTERVAL_MS;
    const dataCentre = dataCentres[this.#nextIndex % dataCentres.length];
    this.#nextIndex++;
    const candidates = this.#ranks.listCandidates(dataCentre as string);
    const attempt = this.#failuresCount.get(dataCentre as string) ?? 0;
    // Every second round goes to the second reader, so that both are compared.
    const round = Math.floor(this.#nextIndex / dataCentres.length);
    return candidates[(attempt + round) % candidates.length];
  }

  /** Records that a data centre answered. */
  recordSuccess(dataCentre: string): void {
    this.#failuresCount.delete(dataCentre);
  }

  /** Records that a member of a data centre did not answer. */
  recordFailure(dataCentre: string): void {
    const count = this.#failuresCount.get(dataCentre) ?? 0;
    this.#failuresCount.set(dataCentre, count + 1);
  }
}
