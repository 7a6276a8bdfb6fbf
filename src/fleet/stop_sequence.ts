/** Steps from SIGTERM to the end of the process. */
import type { FleetDaemonLifecycle } from "./fleet_daemon_lifecycle.ts";

/**
 * Time after SIGTERM for which callers still come: the platform asks for
 * readiness once a second and takes the instance out after two misses.
 */
const LINGER_MS = 2_300;
/**
 * Time after SIGTERM for which new requests are accepted. Callers go on coming
 * when half of a data centre's daemons are not ready.
 */
const ACCEPT_MS = 3_000;
/** Time before the end of the grace period at which the process ends itself. */
const GRACE_RESERVE_MS = 700;
/** Idle intervals after which the last answers have been flushed. */
const IDLE_TICKS_COUNT = 2;

/** Options of {@link StopSequence}. */
export type StopSequenceOptions = {
  lifecycle: FleetDaemonLifecycle;
  /** Time from SIGTERM until the platform kills the process, in ms. */
  stopGraceMs: number;
  /** Requests without an answer. */
  openCount: () => number;
  /** Closes the connections of callers without an open request. */
  closeIdle: () => void;
  /** Refuses new requests; called once. */
  refuseNew: () => void;
};

/** Decides when a stopping daemon refuses and when it ends. */
export class StopSequence {
  readonly #options: StopSequenceOptions;
  #isRefusing = false;
  #idleTicksCount = 0;

  /**
   * @param options Life cycle, grace period and effects.
   */
  constructor(options: StopSequenceOptions) {
    this.#options = options;
  }

  /**
   * Takes the next step; called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { lifecycle, stopGraceMs, openCount } = this.#options;
    if (lifecycle.stoppingSinceMs === undefined) {
      return;
    }
    const stoppedMs = nowMs - lifecycle.stoppingSinceMs;
    this.#options.closeIdle();
    if (stoppedMs >= ACCEPT_MS && !this.#isRefusing) {
      this.#isRefusing = true;
      this.#options.refuseNew();
    }
    if (stoppedMs >= stopGraceMs - GRACE_RESERVE_MS) {
      lifecycle.notify("graceOver");
      return;
    }
    this.#idleTicksCount = openCount() === 0 ? this.#idleTicksCount + 1 : 0;
    if (
      stoppedMs >= LINGER_MS && this.#idleTicksCount >= IDLE_TICKS_COUNT
    ) {
      lifecycle.notify("idle");
    }
  }
}
