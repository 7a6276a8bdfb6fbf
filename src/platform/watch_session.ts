/** Watch of the platform that reconnects until it is stopped. */
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import type { StoredObject } from "../core/platform_client.ts";
import { storedObjectSchema } from "../schemas/platform_schema.ts";

/** Options of {@link WatchSession}. */
export type WatchSessionOptions = {
  /** Opens the connection and returns its streamed body; rejects on failure. */
  open: (signal: AbortSignal) => Promise<Readable>;
  /** Receives each object. */
  emit: (object: StoredObject) => void;
  /** Pause before the next connection, in ms. */
  pauseMs: () => number;
  /** Called when a connection ends or fails. */
  onDisconnect: () => void;
};

/**
 * Reads a watch line by line. An error ends the connection, not the session.
 *
 * @example
 * const session = new WatchSession({ open, emit, pauseMs, onDisconnect });
 * session.start();
 * session.stop();
 */
export class WatchSession {
  readonly #options: WatchSessionOptions;
  readonly #abort = new AbortController();

  /**
   * @param options Connection, receiver and pauses.
   */
  constructor(options: WatchSessionOptions) {
    this.#options = options;
  }

  /** Connects and keeps reconnecting. */
  start(): void {
    // Rejects only when `stop()` aborts a pause.
    this.#run().catch(() => {});
  }

  /** Closes the connection; nothing is emitted afterwards. */
  stop(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    const { signal } = this.#abort;
    while (!signal.aborted) {
      await this.#readConnection(signal);
      if (!signal.aborted) {
        this.#options.onDisconnect();
        await delay(this.#options.pauseMs(), undefined, { signal });
      }
    }
  }

  async #readConnection(signal: AbortSignal): Promise<void> {
    try {
      const body = await this.#options.open(signal);
      for await (const line of createInterface({ input: body })) {
        this.#receive(line);
      }
    } catch {
      // `onDisconnect` records the failure; the loop reconnects.
    }
  }

  #receive(line: string): void {
    if (line === "" || this.#abort.signal.aborted) {
      return;
    }
    this.#options.emit(storedObjectSchema.parse(JSON.parse(line)));
  }
}
