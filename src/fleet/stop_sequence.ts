/** Steps of the shutdown, from SIGTERM to the end of the process. */
import type { FleetDaemonLifecycle } from "./fleet_daemon_lifecycle.ts";

/**
 * Minimum time from SIGTERM to the end of an idle process. Callers may connect
 * during it, because the platform checks readiness once a second and takes the
 * instance out of service after two failed checks.
 */
const IDLE_END_MIN_MS = 2_300;
/**
 * Time from SIGTERM until new requests are refused. Callers normally stop
 * connecting before, but when half of a data centre's daemons are not ready,
 * callers continue to connect to these daemons. Steps are taken once per control
 * interval, so the refusal begins after 3 s at the latest; requests that are taken
 * later have too little time to end.
 */
const ACCEPT_MS = 2_900;
/** Time before the end of the grace period at which the process ends itself. */
const GRACE_RESERVE_MS = 700;
/** Idle control intervals after which the last answers have been sent. */
const IDLE_TICKS_COUNT = 2;

/** Options of {@link StopSequence}. */
export type StopSequenceOptions = {
  lifecycle: FleetDaemonLifecycle;
  /** Time from SIGTERM until the platform kills the process, in ms. */
  stopGraceMs: number;
  /**
   * Number of open requests, of callers and at the local upstream, and of peers
   * to which answers are still to be written.
   */
  openCount: () => number;
  /** Closes the connections of callers without an open request. */
  closeIdle: () => void;
  /**
   * Refuses new requests; called once, with the monotonic time in ms at which the
   * process ends at the latest.
   */
  refuseNew: (endsAtMs: number) => void;
};

/** Decides when a stopping daemon refuses new requests, and when it ends. */
export class StopSequence {
  readonly #options: StopSequenceOptions;
  #isRefusing = false;
  #idleTicksCount = 0;

  /**
   * @param options Lifecycle, grace period and callbacks.
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
    const elapsedMs = nowMs - lifecycle.stoppingSinceMs;
    const endsAtMs = lifecycle.stoppingSinceMs +
      (stopGraceMs - GRACE_RESERVE_MS);
    this.#options.closeIdle();
    if (elapsedMs >= ACCEPT_MS && !this.#isRefusing) {
      this.#isRefusing = true;
      this.#options.refuseNew(endsAtMs);
    }
    if (nowMs >= endsAtMs) {
      lifecycle.notify("graceOver");
      return;
    }
    this.#idleTicksCount = openCount() === 0 ? this.#idleTicksCount + 1 : 0;
    if (
      elapsedMs >= IDLE_END_MIN_MS && this.#idleTicksCount >= IDLE_TICKS_COUNT
    ) {
      lifecycle.notify("idle");
    }
  }
}
