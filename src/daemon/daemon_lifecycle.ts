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
  /**
   * Returns the number of open requests, which an immediate stop would abort,
   * and the oldest of them.
   */
  listOpenExchanges(): { count: number; oldest: readonly OpenExchange[] };
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

/** Options of {@link DaemonLifecycle}. */
export type DaemonLifecycleOptions = {
  log: Logger;
  /** Maximum duration of the drain, in ms. */
  drainLimitMs: number;
  /** Chart events that the signals of the process cause. */
  signals: Stream<DaemonEvent>;
};

/** Exit code when no request was aborted. */
export const EXIT_CLEAN = 0;
/** Exit code when requests were aborted. */
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
   * Queues an event that a part of the daemon causes.
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
  reloadKeys(): void {
    this.#host.reloadKeys();
  }

  /**
   * Action: logs the number of requests that the stop aborts, and the oldest of
   * them.
   */
  logAbortedRequests(): void {
    const { count, oldest } = this.#host.listOpenExchanges();
    const nowMs = this.#host.nowMs();
    for (const { listener, method, path, arrivedMs } of oldest) {
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

  /**
   * Action: ends the process before the drain is complete. The exit code shows
   * whether requests are still open.
   */
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
