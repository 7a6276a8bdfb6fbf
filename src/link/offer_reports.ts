/** Reports of offered runs on a dialled link, and the figures that answer them. */
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import { FIGURES_MAX_AGE_MS } from "../decisions/sharing/pool_offers.ts";
import { FRAME, poolFiguresFrameSchema } from "../schemas/link_schema.ts";

/** Numbers of reports of offered runs, so that each takes one byte. */
const OFFER_NUMBERS_COUNT = 128;

/** Numbers the reports and keeps the figures of the last answer. */
export class OfferReports {
  #figures: UpstreamFigures | undefined;
  #number = 0;
  /** Times of the reports whose answers may still be of use, oldest first. */
  readonly #sentAtMs = new Map<number, number>();

  /** Figures of the last answer; undefined before the first. */
  get figures(): UpstreamFigures | undefined {
    return this.#figures;
  }

  /**
   * Creates the frame of a report that is sent now.
   *
   * @param offeredPerS Offered runs per second by class.
   * @returns The frame.
   */
  createFrame(offeredPerS: readonly number[]): readonly unknown[] {
    const nowMs = performance.now();
    for (const [number, atMs] of this.#sentAtMs) {
      if (nowMs - atMs > FIGURES_MAX_AGE_MS) {
        this.#sentAtMs.delete(number);
      }
    }
    this.#number = (this.#number + 1) % OFFER_NUMBERS_COUNT;
    this.#sentAtMs.set(this.#number, nowMs);
    return [FRAME.offer, this.#number, offeredPerS];
  }

  /**
   * Applies the answer to a report. Its figures are as old as the report, because
   * the answer may have waited in a process that was paused. With a round trip
   * longer than the interval of the reports none is the answer to the last one.
   *
   * @param frame Frame of the answer.
   */
  handleFigures(frame: unknown[]): void {
    const { number, ...figures } = poolFiguresFrameSchema.parse(frame);
    const atMs = this.#sentAtMs.get(number);
    if (atMs !== undefined && atMs >= (this.#figures?.atMs ?? -Infinity)) {
      this.#sentAtMs.delete(number);
      this.#figures = { ...figures, atMs };
    }
  }

  /** Forgets reports and figures, because the connection was closed. */
  clear(): void {
    this.#figures = undefined;
    this.#sentAtMs.clear();
  }
}
