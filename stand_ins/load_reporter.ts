/** Load reports of the upstream stand-in, with a configurable lag and error. */
import type { UpstreamBehaviour } from "./upstream_settings.ts";

const SAMPLES_MAX_COUNT = 10_000;

type Sample = { timeMs: number; inFlightCount: number };

/** Keeps past values, so that a report can state an outdated one as current. */
export class LoadReporter {
  readonly #samples: Sample[] = [{ timeMs: 0, inFlightCount: 0 }];

  /**
   * Records a change.
   *
   * @param inFlightCount Requests that run or wait.
   * @param timeMs Time of the change, in ms.
   */
  record(inFlightCount: number, timeMs: number): void {
    this.#samples.push({ timeMs, inFlightCount });
    if (this.#samples.length > SAMPLES_MAX_COUNT) {
      this.#samples.splice(0, SAMPLES_MAX_COUNT / 2);
    }
  }

  /**
   * Reports the load.
   *
   * @param settings Lag and factor of the report.
   * @param timeMs Current time, in ms.
   * @returns Reported requests in flight.
   */
  report(settings: UpstreamBehaviour["loadReport"], timeMs: number): number {
    const asOfMs = timeMs - settings.lagMs;
    const sample = this.#samples.findLast((entry) => entry.timeMs <= asOfMs) ??
      this.#samples[0] as Sample;
    return Math.round(sample.inFlightCount * settings.factorRatio);
  }
}
