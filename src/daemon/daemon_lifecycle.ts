/** Life cycle of the daemon process. */
import { mergeArray, type Stream } from "most";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import type { Status } from "../schemas/status_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { OpenExchange } from "./open_exchanges.ts";

/** Event of the chart `daemon`. */
export type DaemonEvent =
  | "configured"
  | "terminate"
  | "drained"
  | "limitReached"
  | "reloadKeys";

/** State of the chart `daemon`. */
export type DaemonState = Status["state"];

/** Operations of the daemon that the life cycle calls. */
export interface DaemonLifecycleHost {
  /** Starts the drain; the event `drained` follows when it is complete. */
  startDrain(): void;
  /** Re-reads the peer keys. */
  reloadKeys(): void;
  /** Returns the open requests, which an immediate stop would abort. */
  listOpenExchanges(): { count: number; first: readonly OpenExchange[] };
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

/** Options of {@link DaemonLifecycle}. */
export type DaemonLifecycleOptions = {
  log: Logger;
  /** Maximum duration of the drain, in ms. */
  drainLimitMs: number;
  /** Signals of the process. */
  signals: Stream<DaemonEvent>;
};

/** Exit code after a clean drain. */
export const EXIT_CLEAN = 0;
/** Exit code after requests were aborted. */
export const EXIT_ABORTED = 1;

/** Runs the chart `daemon`. */
export class DaemonLifecycle implements ControlPart<DaemonEvent> {
  readonly name = "daemon";
  readonly inputs: Stream<DaemonEvent>;
  /** Resolves with the exit code when the process should end. */
  readonly ended: Promise<number>;
  readonly #source = new EventSource<DaemonEvent>();
  readonly #host: DaemonLifecycleHost;
  readonly #options: DaemonLifecycleOptions;
  readonly #machine: StateMachine;
  #resolveEnded: (exitCode: number) => void = () => {};
  #limitTimer: NodeJS.Timeout | undefined;

  /**
   * @param host Operations of the daemon.
   * @param options Log, drain limit and signals.
   */
  constructor(host: DaemonLifecycleHost, options: DaemonLifecycleOptions) {
    this.#host = host;
    this.#options = options;
    this.inputs = mergeArray([options.signals, this.#source.stream]);
    this.#machine = new StateMachine(DAEMON_CHART, this);
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
  }

  /** Name of the current state. */
  get state(): DaemonState {
    return this.#machine.state as DaemonState;
  }

  /** Whether the process is shutting down or has stopped. */
  get isEnding(): boolean {
    return this.#machine.is("draining") || this.#machine.isFinal;
  }

  /**
   * Adds an event from inside the daemon.
   *
   * @param event Event of the chart.
   */
  notify(event: DaemonEvent): void {
    this.#source.emit(event);
  }

  /** @inheritdoc */
  handle(event: DaemonEvent): void {
    this.#machine.send(event);
  }

  /** Action: logs that the daemon accepts requests. */
  reportReady(): void {
    this.#options.log.info("Ready");
  }

  /** Action: starts the drain and its time limit. */
  startDrain(): void {
    const { log, drainLimitMs } = this.#options;
    log.info("Draining before the end of the process", { drainLimitMs });
    this.#limitTimer = setTimeout(
      () => this.#source.emit("limitReached"),
      drainLimitMs,
    );
    this.#host.startDrain();
  }

  /** Action: re-reads the peer keys. */
  readKeys(): void {
    this.#host.reloadKeys();
  }

  /** Action: logs the requests that the stop aborts. */
  logAbortedRequests(): void {
    const { count, first } = this.#host.listOpenExchanges();
    const nowMs = this.#host.nowMs();
    for (const { listener, method, path, arrivedMs } of first) {
      this.#options.log.warn("Request is cut", {
        listener,
        method,
        path,
        ageMs: Math.round(nowMs - arrivedMs),
      });
    }
    this.#options.log.warn("Stopping before the drain ended", {
      cutCount: count,
    });
  }

  /** Action: ends the process after a complete drain. */
  endClean(): void {
    this.#options.log.info("Drained, stopping");
    this.#end(EXIT_CLEAN);
  }

  /** Action: ends the process before the drain is complete. */
  endEarly(): void {
    const { count } = this.#host.listOpenExchanges();
    this.#end(count === 0 ? EXIT_CLEAN : EXIT_ABORTED);
  }

  #end(exitCode: number): void {
    clearTimeout(this.#limitTimer);
    this.#resolveEnded(exitCode);
  }
}

const DAEMON_CHART = loadChart("daemon", DaemonLifecycle.prototype);
