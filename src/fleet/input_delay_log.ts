/** Logs that input and frames of peers were read late. */
import type { InputDelay } from "../core/input_delay.ts";
import type { Logger } from "../telemetry/logger.ts";

/** Minimum time between two lines. */
const INTERVAL_MS = 1_000;
/** Delay of a frame from which on it is logged. */
const FRAME_DELAY_MIN_MS = 100;

/**
 * Writes a line for each second in which the process was behind with its input
 * or received a request that had waited. A long delay of a frame without one of
 * the input arose at the sender or on the way.
 */
export class InputDelayLog {
  readonly #inputDelay: Pick<InputDelay, "takeLongestMs">;
  readonly #log: Logger;
  #loggedAtMs = -Infinity;
  #longestFrameMs = 0;

  /**
   * @param inputDelay Delay of the input of this process.
   * @param log Logger for the lines.
   */
  constructor(inputDelay: Pick<InputDelay, "takeLongestMs">, log: Logger) {
    this.#inputDelay = inputDelay;
    this.#log = log;
  }

  /**
   * Records a request of a peer.
   *
   * @param delayMs Time for which its frame has waited, in ms.
   */
  recordFrame(delayMs: number): void {
    this.#longestFrameMs = Math.max(this.#longestFrameMs, delayMs);
  }

  /**
   * Writes a line if one is due.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    if (nowMs - this.#loggedAtMs < INTERVAL_MS) {
      return;
    }
    this.#loggedAtMs = nowMs;
    const inputDelayMs = this.#inputDelay.takeLongestMs();
    const frameDelayMs = this.#longestFrameMs;
    this.#longestFrameMs = 0;
    if (inputDelayMs > 0 || frameDelayMs >= FRAME_DELAY_MIN_MS) {
      this.#log.info("Input was read late", {
        inputDelayMs: Math.round(inputDelayMs),
        frameDelayMs: Math.round(frameDelayMs),
      });
    }
  }
}
