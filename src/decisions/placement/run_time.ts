/**
 * Mean run time of a route at one upstream. It answers an upstream that was slow
 * for some seconds: it gets few requests meanwhile, so a mean with a fixed weight
 * for each of them would make callers avoid it long after it has recovered.
 */

/** Weight of the newest run. */
const RUN_WEIGHT = 0.1;
/** Time without runs after which the mean follows the reported one. */
const MEMORY_MS = 2_000;

/** A run of the route. */
export type RouteRun = {
  readonly runMs: number;
  /** Mean time of the runs of all routes and callers, as reported, in ms. */
  readonly reportedMs: number;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
};

/** Moving average that is scaled with the reported mean after a time without runs. */
export class RunTime {
  #meanMs: number;
  #reportedMs: number;
  #addedAtMs: number;

  /**
   * @param first First run.
   */
  constructor({ runMs, reportedMs, nowMs }: RouteRun) {
    this.#meanMs = runMs;
    this.#reportedMs = Math.max(1, reportedMs);
    this.#addedAtMs = nowMs;
  }

  /** Mean, in ms. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /**
   * Adds a run.
   *
   * @param run The run. A single one varies too much to replace an old mean, but
   *   the reported mean is that of many runs.
   */
  add({ runMs, reportedMs, nowMs }: RouteRun): void {
    const ageMs = Math.max(0, nowMs - this.#addedAtMs);
    const reportMs = Math.max(1, reportedMs);
    const change = reportMs / this.#reportedMs - 1;
    const scale = 1 + change * (1 - Math.exp(-ageMs / MEMORY_MS));
    this.#meanMs *= scale;
    this.#meanMs += (runMs - this.#meanMs) * RUN_WEIGHT;
    this.#reportedMs *= scale;
    this.#reportedMs += (reportMs - this.#reportedMs) * RUN_WEIGHT;
    this.#addedAtMs = nowMs;
  }
}
