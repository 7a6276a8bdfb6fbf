/** Drain of a daemon: no new work, accepted work continues. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";

/** What the drain needs of the daemon. */
export interface DrainHost {
  /** Starts to refuse new requests with `draining`. */
  refuseNewWork(): void;
  /** Accepts new requests again. */
  acceptNewWork(): void;
  /** Tells the peers that this instance leaves. */
  notifyLeaving(): void;
  /** Tells the peers that this instance serves again. */
  notifyServing(): void;
  /** Called when no accepted work is left. */
  notifyDrained(): void;
  /** Requests that were accepted and have not ended. */
  openCount(): number;
  /** Reads the monotonic clock, in ms. */
  nowMs(): number;
}

/** Event of the chart `drain`. */
export type DrainEvent = "start" | "cancel" | "check";

/**
 * Shortest time from the start of a drain to its end. Peers may send requests
 * on kept connections until they have learned of the drain, for which promise 6
 * allows 3 s. A listener that closed earlier would reset such a request, and
 * its outcome would be unknown instead of not-run.
 */
export const DRAIN_LINGER_MS = 3_000;

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
   * @param host Parts of the daemon that take work.
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

  /** Requests a drain. */
  start(): void {
    this.#source.emit("start");
  }

  /** Requests that the daemon takes work again. */
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
    const lingeredMs = this.#host.nowMs() - this.#startedMs;
    if (lingeredMs >= DRAIN_LINGER_MS && this.#host.openCount() === 0) {
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

  /** Action: tells the peers. */
  notifyLeaving(): void {
    this.#host.notifyLeaving();
  }

  /** Action: tells the peers. */
  notifyServing(): void {
    this.#host.notifyServing();
  }

  /** Action: looks regularly whether accepted work is left. */
  startIdleChecks(): void {
    this.#timer = setInterval(
      () => this.#source.emit("check"),
      CHECK_INTERVAL_MS,
    );
  }

  /** Action: reports that no accepted work is left. */
  notifyDrained(): void {
    clearInterval(this.#timer);
    this.#host.notifyDrained();
  }
}

const DRAIN_CHART = loadChart("drain", DrainController.prototype);
