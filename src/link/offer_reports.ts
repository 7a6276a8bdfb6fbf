/** Reports of offered runs on a dialled link, and the figures that answer them. */
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import { FRAME, poolFiguresFrameSchema } from "../schemas/link_schema.ts";

/** Numbers of reports of offered runs, so that each takes one byte. */
const OFFER_NUMBERS_COUNT = 128;

/** Numbers the reports and keeps the figures of the last answer. */
export class OfferReports {
  #figures: UpstreamFigures | undefined;
  #number = 0;
  #sentAtMs = 0;

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
    this.#number = (this.#number + 1) % OFFER_NUMBERS_COUNT;
    this.#sentAtMs = performance.now();
    return [FRAME.offer, this.#number, offeredPerS];
  }

  /**
   * Applies the answer to the last report. An answer to an earlier one may have
   * waited in a process that was paused.
   *
   * @param frame Frame of the answer.
   */
  handleFigures(frame: unknown[]): void {
    const { number, ...figures } = poolFiguresFrameSchema.parse(frame);
    if (number === this.#number) {
      this.#figures = { ...figures, atMs: this.#sentAtMs };
    }
  }

  /** Forgets the figures, because the connection was closed. */
  clearFigures(): void {
    this.#figures = undefined;
  }
}
