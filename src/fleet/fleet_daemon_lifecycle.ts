/** Life cycle of the process of a daemon on a platform. */
import { mergeArray, type Stream } from "most";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import type { Logger } from "../telemetry/logger.ts";

/** Event of the chart `fleet_daemon`. */
export type FleetDaemonEvent =
  | "configured"
  | "terminate"
  | "reload"
  | "idle"
  | "graceOver";

/** Options of {@link FleetDaemonLifecycle}. */
export type FleetDaemonLifecycleOptions = {
  log: Logger;
  signals: Stream<FleetDaemonEvent>;
  /** Stops taking new work. */
  onStop: () => void;
  /** Requests without an answer. */
  openCount: () => number;
};

/** Runs the chart `fleet_daemon`. */
export class FleetDaemonLifecycle implements ControlPart<FleetDaemonEvent> {
  readonly name = "daemon";
  readonly inputs: Stream<FleetDaemonEvent>;
  /** Resolves when the process should end. */
  readonly ended: Promise<void>;
  readonly #options: FleetDaemonLifecycleOptions;
  readonly #source = new EventSource<FleetDaemonEvent>();
  readonly #machine: StateMachine;
  #resolveEnded: () => void = () => {};
  /** Monotonic time of the SIGTERM, in ms. */
  stoppingSinceMs: number | undefined;

  /**
   * @param options Log, signals and effects.
   */
  constructor(options: FleetDaemonLifecycleOptions) {
    this.#options = options;
    this.inputs = mergeArray([options.signals, this.#source.stream]);
    this.#machine = new StateMachine(FLEET_DAEMON_CHART, this);
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
  }

  /** Whether the daemon takes new clients. */
  get isReady(): boolean {
    return this.#machine.is("ready");
  }

  /** Name of the chart's state. */
  get stateName(): string {
    return this.#machine.state;
  }

  /**
   * Adds an event from inside the daemon.
   *
   * @param event Event of the chart.
   */
  notify(event: FleetDaemonEvent): void {
    this.#source.emit(event);
  }

  /** @inheritdoc */
  handle(event: FleetDaemonEvent): void {
    this.#machine.send(event);
  }

  /** Action: reports that the daemon takes requests. */
  reportReady(): void {
    this.#options.log.info("Ready");
  }

  /** Action: reports a reload; no setting changes at run time. */
  reportReload(): void {
    this.#options.log.info("Reload asked for; nothing changes at run time");
  }

  /** Action: stops taking new work. */
  startShutdown(): void {
    this.stoppingSinceMs = performance.now();
    this.#options.log.info("Stopping", {
      openCount: this.#options.openCount(),
    });
    this.#options.onStop();
  }

  /** Action: ends the process. */
  end(): void {
    this.#options.log.info("Stopped", { cutCount: this.#options.openCount() });
    this.#resolveEnded();
  }
}

const FLEET_DAEMON_CHART = loadChart(
  "fleet_daemon",
  FleetDaemonLifecycle.prototype,
);
