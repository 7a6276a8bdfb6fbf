/** Turns signals of the process into events of the control loop. */
import process from "node:process";
import { EventSource } from "../core/event_source.ts";
import type { DaemonEvent } from "./daemon_lifecycle.ts";

const SIGNAL_EVENTS = {
  SIGTERM: "terminate",
  SIGINT: "terminate",
  SIGHUP: "reloadKeys",
} as const satisfies Record<string, DaemonEvent>;

/** Listens for signals until it is closed. */
export class SignalSource {
  readonly #source = new EventSource<DaemonEvent>();
  /** Events of the chart `daemon`. */
  readonly stream = this.#source.stream;
  readonly #handle = (signal: NodeJS.Signals) =>
    this.#source.emit(SIGNAL_EVENTS[signal as keyof typeof SIGNAL_EVENTS]);

  constructor() {
    for (const signal of Object.keys(SIGNAL_EVENTS)) {
      process.on(signal, this.#handle);
    }
  }

  /** Stops listening, which restores the default effect of the signals. */
  close(): void {
    for (const signal of Object.keys(SIGNAL_EVENTS)) {
      process.off(signal, this.#handle);
    }
  }
}
