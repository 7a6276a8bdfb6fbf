/** Steps of the shutdown, from SIGTERM to the end of the process. */
import type { FleetDaemonLifecycle } from "./fleet_daemon_lifecycle.ts";

/**
 * Minimum time from SIGTERM to the end of an idle process. Until then callers
 * still connect: the platform checks readiness once a second and takes the
 * instance out of service after two failed checks.
 */
const LINGER_MS = 2_300;
/**
 * Time after SIGTERM in which new requests are accepted. When half of a data
 * centre's daemons are not ready, callers do not stop connecting to them.
 */
const ACCEPT_MS = 3_000;
/** Time before the end of the grace period at which the process ends. */
const GRACE_RESERVE_MS = 700;
/** Idle control intervals after which the last answers have been flushed. */
const IDLE_TICKS_COUNT = 2;

/** Options of {@link StopSequence}. */
export type StopSequenceOptions = {
  lifecycle: FleetDaemonLifecycle;
  /** Time from SIGTERM until the platform kills the process, in ms. */
  stopGraceMs: number;
  /** Number of requests without an answer. */
  openCount: () => number;
  /** Closes the connections of callers without an open request. */
  closeIdle: () => void;
  /** Refuses new requests; called once. */
  refuseNew: () => void;
};

/** Decides when a stopping daemon refuses new requests, and when it ends. */
export class StopSequence {
  readonly #options: StopSequenceOptions;
  #isRefusing = false;
  #idleTicksCount = 0;

  /**
   * @param options Life cycle, grace period and callbacks.
   */
  constructor(options: StopSequenceOptions) {
    this.#options = options;
  }

  /**
   * Takes the steps that are due. Called once per control interval.
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
