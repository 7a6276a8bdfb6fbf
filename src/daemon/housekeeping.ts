/** Periodic work of the daemon's own parts. */
import { periodic, type Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";

/** What the housekeeping looks after. */
export interface HousekeepingHost {
  /** Whether a configuration is in force. */
  isConfigured(): boolean;
  /** Called at each tick while a configuration is in force. */
  notifyConfigured(): void;
  /** Starts a new interval of the latency quantiles. */
  rotateLatencies(): void;
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

const TICK_INTERVAL_MS = 100;
const LATENCY_INTERVAL_MS = 30_000;

/** Watches for the first configuration and rotates histograms. */
export class Housekeeping implements ControlPart<unknown> {
  readonly name = "housekeeping";
  readonly inputs: Stream<unknown> = periodic(TICK_INTERVAL_MS);
  readonly #host: HousekeepingHost;
  #rotatedMs: number;

  /**
   * @param host Parts that are looked after.
   */
  constructor(host: HousekeepingHost) {
    this.#host = host;
    this.#rotatedMs = host.nowMs();
  }

  /** @inheritdoc */
  handle(): void {
    if (this.#host.isConfigured()) {
      this.#host.notifyConfigured();
    }
    const nowMs = this.#host.nowMs();
    if (nowMs - this.#rotatedMs >= LATENCY_INTERVAL_MS) {
      this.#rotatedMs = nowMs;
      this.#host.rotateLatencies();
    }
  }
}
