/** Writes log lines without blocking on a slow reader. */
import type { Writable } from "node:stream";

/** Lines are dropped while more than this is buffered. */
const BUFFERED_MAX_BYTES = 262_144;

/**
 * Writes lines to a stream. Lines are dropped and counted while the stream is
 * closed or its buffer is full.
 *
 * @example
 * const writer = new LineWriter(openOutput());
 * const log = new JsonLogger({ level: "info", write: (line) => writer.write(line) });
 */
export class LineWriter {
  readonly #destination: Writable;
  #droppedCount = 0;

  /**
   * @param destination Stream that is written to. An error of the stream stops
   *   the output, but does not end the process.
   */
  constructor(destination: Writable) {
    this.#destination = destination;
    destination.on("error", () => {});
  }

  /** Number of lines that were dropped since the start. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Writes one line or drops it.
   *
   * @param line Line with its line end.
   */
  write(line: string): void {
    const isBlocked = this.#destination.destroyed ||
      this.#destination.writableLength > BUFFERED_MAX_BYTES;
    if (isBlocked) {
      this.#droppedCount++;
      return;
    }
    this.#destination.write(line);
  }
}
