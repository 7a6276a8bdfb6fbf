/** Lifecycle of a daemon process on a deployment platform. */
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
  /** Events that correspond to signals of the operating system. */
  signals: Stream<FleetDaemonEvent>;
  /** Called once, when the shutdown starts. */
  onStop: () => void;
  /** Number of open requests, of callers and at the local upstream. */
  openCount: () => number;
};

/** Lifecycle of the daemon, as defined by the chart `fleet_daemon`. */
export class FleetDaemonLifecycle implements ControlPart<FleetDaemonEvent> {
  readonly name = "daemon";
  readonly inputs: Stream<FleetDaemonEvent>;
  /** Resolves when the process should end. */
  readonly ended: Promise<void>;
  readonly #options: FleetDaemonLifecycleOptions;
  readonly #source = new EventSource<FleetDaemonEvent>();
  readonly #machine: StateMachine;
  #resolveEnded: () => void = () => {};
  /** Monotonic time at which the shutdown started, in ms; undefined before. */
  stoppingSinceMs: number | undefined;

  /**
   * @param options Logger, signals and callbacks.
   */
  constructor(options: FleetDaemonLifecycleOptions) {
    this.#options = options;
    this.inputs = mergeArray([options.signals, this.#source.stream]);
    this.#machine = new StateMachine(FLEET_DAEMON_CHART, this);
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
  }

  /** Whether the daemon has a configuration and is not shutting down. */
  get isReady(): boolean {
    return this.#machine.is("ready");
  }

  /** Name of the chart's current state. */
  get stateName(): string {
    return this.#machine.state;
  }

  /**
   * Queues an event from inside the daemon.
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

  /** Action: logs that the daemon is ready. */
  reportReady(): void {
    this.#options.log.info("Ready");
  }

  /** Action: logs a requested reload; settings do not change at run time. */
  reportReload(): void {
    this.#options.log.info("Reload asked for; nothing changes at run time");
  }

  /** Action: starts the shutdown. */
  startShutdown(): void {
    this.stoppingSinceMs = performance.now();
    this.#options.log.info("Stopping", {
      openCount: this.#options.openCount(),
    });
    this.#options.onStop();
  }

  /** Action: logs how many open requests are aborted, and resolves `ended`. */
  end(): void {
    this.#options.log.info("Stopped", { cutCount: this.#options.openCount() });
    this.#resolveEnded();
  }
}

const FLEET_DAEMON_CHART = loadChart(
  "fleet_daemon",
  FleetDaemonLifecycle.prototype,
);
