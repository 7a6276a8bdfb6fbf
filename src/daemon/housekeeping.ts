/** Work of the daemon's own parts besides requests. */
import { mergeArray, of, type Stream } from "most";
import type { ControlPart } from "../core/event_loop.ts";
import { timerStream } from "../core/timer_stream.ts";

/** What the housekeeping looks after. */
export interface HousekeepingHost {
  /** Emits after another configuration came into force. */
  readonly configChanges: Stream<unknown>;
  /** Whether a configuration is in force. */
  isConfigured(): boolean;
  /** Called when a configuration is in force at the start or after a change. */
  notifyConfigured(): void;
  /** Starts a new interval of the latency quantiles. */
  rotateLatencies(): void;
}

/** Event of the housekeeping. */
export type HousekeepingEvent = "config" | "interval";

const LATENCY_INTERVAL_MS = 30_000;

/** Watches for the first configuration and rotates histograms. */
export class Housekeeping implements ControlPart<HousekeepingEvent> {
  readonly name = "housekeeping";
  readonly inputs: Stream<HousekeepingEvent>;
  readonly #host: HousekeepingHost;

  /**
   * @param host Parts that are looked after.
   */
  constructor(host: HousekeepingHost) {
    this.#host = host;
    this.inputs = mergeArray<HousekeepingEvent>([
      of("config"),
      host.configChanges.constant("config"),
      // The first event of a timer stream comes at once.
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
