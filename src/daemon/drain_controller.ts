/** Drain of a daemon: new work is refused, accepted work continues. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";

/** Operations of the daemon that the drain calls. */
export interface DrainHost {
  /** Refuses new requests with the error kind `draining`. */
  refuseNewWork(): void;
  /** Accepts new requests again. */
  acceptNewWork(): void;
  /** Informs the peers that this instance refuses new work. */
  notifyLeaving(): void;
  /** Informs the peers that this instance accepts new work again. */
  notifyServing(): void;
  /** Called when all accepted work has ended. */
  notifyDrained(): void;
  /** Returns the number of accepted requests that have not ended. */
  openCount(): number;
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

/**
 * Input of {@link DrainController}. `start` and `cancel` are events of the chart
 * `drain`; `check` asks whether to send its event `idle`.
 */
export type DrainEvent = "start" | "cancel" | "check";

/**
 * Minimum duration of a drain, in ms. Peers may send requests on keep-alive
 * connections until they are informed of the drain; promise 6 in
 * `docs/PROMISES.md` allows 3 s for that. A listener that closed earlier would
 * reset such a request, and its outcome would be unknown instead of not-run.
 */
export const DRAIN_MIN_MS = 3_000;

const CHECK_INTERVAL_MS = 50;

/** Runs the chart `drain`. */
export class DrainController implements ControlPart<DrainEvent> {
  readonly name = "drain";
  readonly #source = new EventSource<DrainEvent>();
  readonly inputs = this.#source.stream;
  readonly #host: DrainHost;
  readonly #machine: StateMachine;
  #startedMs = 0;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param host Operations of the daemon.
   */
  constructor(host: DrainHost) {
    this.#host = host;
    this.#machine = new StateMachine(DRAIN_CHART, this);
  }

  /** Whether new work is accepted. */
  get isServing(): boolean {
    return this.#machine.is("serving");
  }

  /** Name of the current state. */
  get state(): string {
    return this.#machine.state;
  }

  /** Requests a drain; the control loop starts it. */
  start(): void {
    this.#source.emit("start");
  }

  /** Requests the end of the drain; the daemon then accepts work again. */
  cancel(): void {
    this.#source.emit("cancel");
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#timer);
  }

  /** @inheritdoc */
  handle(event: DrainEvent): void {
    if (event !== "check") {
      this.#machine.send(event);
      return;
    }
    const elapsedMs = this.#host.nowMs() - this.#startedMs;
    if (elapsedMs >= DRAIN_MIN_MS && this.#host.openCount() === 0) {
      this.#machine.send("idle");
    }
  }

  /** Action: refuses new requests. */
  refuseNewWork(): void {
    this.#startedMs = this.#host.nowMs();
    this.#host.refuseNewWork();
  }

  /** Action: accepts new requests. */
  acceptNewWork(): void {
    clearInterval(this.#timer);
    this.#host.acceptNewWork();
  }

  /** Action: informs the peers of the drain. */
  notifyLeaving(): void {
    this.#host.notifyLeaving();
  }

  /** Action: informs the peers of the end of the drain. */
  notifyServing(): void {
    this.#host.notifyServing();
  }

  /** Action: checks periodically whether accepted work is left. */
  startIdleChecks(): void {
    this.#timer = setInterval(
      () => this.#source.emit("check"),
      CHECK_INTERVAL_MS,
    );
  }

  /** Action: reports that all accepted work has ended. */
  notifyDrained(): void {
    clearInterval(this.#timer);
    this.#host.notifyDrained();
  }
}

const DRAIN_CHART = loadChart("drain", DrainController.prototype);
