/** Figures of the local upstream's pool, for the daemons that offer runs to it. */
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import { PoolOffers } from "../decisions/sharing/pool_offers.ts";
import { FRAME, offerFrameSchema } from "../schemas/link_schema.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Interval of the reports of one daemon. */
const REPORT_INTERVAL_MIN_MS = 250;
/**
 * Time per reporting daemon that is added up to the interval, so that the
 * answers, of about 20 bytes each, stay below 6.3 KB/s.
 */
const REPORT_INTERVAL_PER_DAEMON_MS = 3.2;
/**
 * With a longer interval figures would often be too old when the next arrive, so
 * reports are not answered and the busy ratio controls admission.
 */
const REPORT_INTERVAL_MAX_MS = 700;
/** Unit of the interval in the answer. */
const INTERVAL_UNIT_MS = 10;

/** Sums the reports of offered runs and answers them. */
export class PoolFiguresSource {
  readonly #gate: Pick<UpstreamGate, "capacityPerS" | "busyRatio">;
  readonly #offers = new PoolOffers();

  /**
   * @param gate Gate of the local upstream.
   */
  constructor(gate: Pick<UpstreamGate, "capacityPerS" | "busyRatio">) {
    this.#gate = gate;
  }

  /**
   * Replaces the report of a daemon.
   *
   * @param reporter Name of the daemon.
   * @param offeredPerS Runs per second that its callers offer, by class.
   * @param nowMs Monotonic time, in ms.
   */
  record(
    reporter: string,
    offeredPerS: readonly number[],
    nowMs: number,
  ): void {
    this.#offers.record(reporter, offeredPerS, nowMs);
  }

  /**
   * Returns the present figures.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Capacity and load of the upstream, and the offered runs.
   */
  figures(nowMs: number): UpstreamFigures {
    const offeredPerS = this.#offers.sum(nowMs);
    return {
      capacityPerS: this.#gate.capacityPerS,
      busyRatio: this.#gate.busyRatio,
      offeredPerS,
      reportIntervalMs: Math.max(
        REPORT_INTERVAL_MIN_MS,
        REPORT_INTERVAL_PER_DAEMON_MS * this.#offers.reportersCount,
      ),
      atMs: nowMs,
    };
  }

  /**
   * Handles a report of a peer.
   *
   * @param frame Frame of the report.
   * @param peerName Daemon that has sent it.
   * @returns Frame with the figures; undefined when too many daemons report.
   */
  handleOfferFrame(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined {
    const { number, offeredPerS } = offerFrameSchema.parse(frame);
    const nowMs = performance.now();
    this.record(peerName, offeredPerS, nowMs);
    const figures = this.figures(nowMs);
    return figures.reportIntervalMs > REPORT_INTERVAL_MAX_MS ? undefined : [
      FRAME.poolFigures,
      number,
      Math.round(figures.capacityPerS),
      Math.round(figures.busyRatio * 100),
      Math.round(figures.reportIntervalMs / INTERVAL_UNIT_MS),
      figures.offeredPerS.map(Math.round),
    ];
  }
}
