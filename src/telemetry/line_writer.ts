/** Writes log lines without ever waiting for their reader. */
import type { Writable } from "node:stream";

/** Bytes that may wait for a reader that does not read. */
const UNREAD_MAX_BYTES = 262_144;

/**
 * Drops lines while the destination does not take them, and counts them.
 *
 * @example
 * const writer = new LineWriter(process.stdout);
 * const log = new JsonLogger({ level: "info", write: (line) => writer.write(line) });
 */
export class LineWriter {
  readonly #destination: Writable;
  #droppedCount = 0;

  /**
   * @param destination Stream; its errors end the output, not the process.
   */
  constructor(destination: Writable) {
    this.#destination = destination;
    destination.on("error", () => {});
  }

  /** Lines that were dropped since the start. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Writes one line or drops it.
   *
   * @param line Line with its end.
   */
  write(line: string): void {
    const isBlocked = this.#destination.destroyed ||
      this.#destination.writableLength > UNREAD_MAX_BYTES;
    if (isBlocked) {
      this.#droppedCount++;
      return;
    }
    this.#destination.write(line);
  }
}
