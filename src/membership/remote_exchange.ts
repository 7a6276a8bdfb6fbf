/** Schedules the exchanges of a reader with members of other data centres. */
import type { ReaderRanks } from "./reader_ranks.ts";

/** Time between two exchanges of a reader, in ms. */
export const EXCHANGE_INTERVAL_MS = 1_000;

/**
 * Selects the members of other data centres with which a reader exchanges its
 * view: it probes them, and synchronises when the digests differ. The data
 * centres take turns, one per interval, so that after a partition each reader
 * synchronises with at most one of them per second.
 */
export class RemoteExchange {
  readonly #ranks: ReaderRanks;
  readonly #dataCentre: string;
  /** Consecutive failures by data centre; each selects the next candidate. */
  readonly #failuresByDataCentre = new Map<string, number>();
  #nextIndex = 0;
  #nextMs: number;

  /**
   * @param ranks Readers of all data centres.
   * @param options Data centre of this daemon, and the monotonic time, in ms.
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
   * Selects the next member of another data centre when an exchange is due.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Instance id; undefined when no exchange is due.
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
    const attempt = this.#failuresByDataCentre.get(dataCentre as string) ?? 0;
    // Each round uses the next candidate, so that all candidates are used.
    const round = Math.floor(this.#nextIndex / dataCentres.length);
    return candidates[(attempt + round) % candidates.length];
  }

  /** Records that a member of a data centre answered. */
  recordSuccess(dataCentre: string): void {
    this.#failuresByDataCentre.delete(dataCentre);
  }

  /** Records that a member of a data centre did not answer. */
  recordFailure(dataCentre: string): void {
    const count = this.#failuresByDataCentre.get(dataCentre) ?? 0;
    this.#failuresByDataCentre.set(dataCentre, count + 1);
  }
}
