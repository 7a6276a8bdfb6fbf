/** Periodic and configuration-driven tasks of the daemon. */
import { mergeArray, of, type Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import { timerStream } from "../core/timer_stream.ts";

/** Operations of the daemon that the housekeeping calls. */
export interface HousekeepingHost {
  /** Emits after a new configuration has come into force. */
  readonly configChanges: Stream<unknown>;
  /** Whether a configuration is in force. */
  isConfigured(): boolean;
  /** Called at the start and after each change if a configuration is in force. */
  notifyConfigured(): void;
  /** Starts a new interval of the latency quantiles. */
  rotateLatencies(): void;
}

/**
 * Input of {@link Housekeeping}: `config` at the start and after each change of
 * the configuration, `interval` at the end of each latency interval.
 */
export type HousekeepingEvent = "config" | "interval";

const LATENCY_INTERVAL_MS = 30_000;

/** Reports configurations in force and rotates the latency histograms. */
export class Housekeeping implements ControlPart<HousekeepingEvent> {
  readonly name = "housekeeping";
  readonly inputs: Stream<HousekeepingEvent>;
  readonly #host: HousekeepingHost;

  /**
   * @param host Operations of the daemon.
   */
  constructor(host: HousekeepingHost) {
    this.#host = host;
    this.inputs = mergeArray<HousekeepingEvent>([
      of("config"),
      host.configChanges.constant("config"),
      // A timer stream emits its first event immediately.
      timerStream(LATENCY_INTERVAL_MS).skip(1).constant("interval"),
    ]);
  }

  /** @inheritdoc */
  handle(event: HousekeepingEvent): void {
    if (event === "interval") {
      this.#host.rotateLatencies();
      return;
    }
    if (this.#host.isConfigured()) {
      this.#host.notifyConfigured();
    }
  }
}
