/** Counts and logs callers that are refused or closed to protect the process. */
import type { LogFields, Logger } from "./logger.ts";

/** Why a caller was refused or its connection was closed. */
export const CALLER_REFUSALS = [
  /** The body is over the limit. */
  "body_too_large",
  /** The body made no progress for too long. */
  "body_timeout",
  /** Too many bytes are held for callers. */
  "memory_short",
  /** The body has too many small chunks while others have, too. */
  "chunks_too_small",
  /** The connection has too many open requests, and is not read meanwhile. */
  "requests_pipelined",
  /** The connection was closed because its caller does not read its answer. */
  "answer_unread",
  /** The connection was closed because another one needed its descriptor. */
  "connection_closed",
  /** A new connection found no descriptor. */
  "connection_refused",
] as const;

/** Why a caller was refused or its connection was closed. */
export type CallerRefusal = typeof CALLER_REFUSALS[number];

/** Maximum lines per second. */
const LINES_MAX_PER_S = 5;
const MS_PER_S = 1_000;

/**
 * Counts refusals by their reason, and writes a bounded number of log lines.
 *
 * @example
 * refusals.record("memory_short", { heldBytes });
 */
export class CallerRefusals {
  readonly #log: Logger;
  readonly #counts = new Map<CallerRefusal, number>();
  #secondStartMs = -Infinity;
  #linesLeft = 0;
  #omittedCount = 0;

  /**
   * @param log Logger that receives the lines.
   */
  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Counts a refusal, and logs it unless there were too many within a second.
   *
   * @param reason Reason of the refusal.
   * @param fields Further fields of the line.
   */
  record(reason: CallerRefusal, fields: LogFields): void {
    this.#counts.set(reason, this.countOf(reason) + 1);
    const nowMs = performance.now();
    if (nowMs - this.#secondStartMs >= MS_PER_S) {
      this.#secondStartMs = nowMs;
      this.#linesLeft = LINES_MAX_PER_S;
    }
    if (this.#linesLeft-- <= 0) {
      this.#omittedCount++;
      return;
    }
    const omittedCount = this.#omittedCount;
    this.#omittedCount = 0;
    this.#log.warn("Caller refused", { reason, ...fields, omittedCount });
  }

  /**
   * Returns how often callers were refused.
   *
   * @param reason Reason of the refusals.
   * @returns Number since the start.
   */
  countOf(reason: CallerRefusal): number {
    return this.#counts.get(reason) ?? 0;
  }
}
