/** Creates the parts of a daemon that watch how late its input is read. */
import { InputDelay } from "../core/input_delay.ts";
import { StartQueue } from "../core/start_queue.ts";
import type { Logger } from "../telemetry/logger.ts";
import { InputDelayLog } from "./input_delay_log.ts";

/** Parts that watch the input. */
export type InputParts = {
  readonly inputDelay: InputDelay;
  readonly inputDelayLog: InputDelayLog;
  /** Starts requests once what has arrived behind them has been read. */
  readonly startQueue: StartQueue;
};

/**
 * Creates the parts that watch the input.
 *
 * @param log Logger for input that was read late.
 * @returns Connected parts; `inputDelay` and `inputDelayLog` are to be ticked.
 */
export function createInputParts(log: Logger): InputParts {
  const inputDelay = new InputDelay();
  return {
    inputDelay,
    inputDelayLog: new InputDelayLog(inputDelay, log),
    startQueue: new StartQueue(inputDelay),
  };
}
