/** Delays the start of requests until the input behind them has been read. */
import type { InputDelay } from "./input_delay.ts";

/**
 * Time for which requests are started before input is read again. A start takes
 * a fraction of a millisecond.
 */
const SLICE_MS = 10;

/** Cancels a request, before its start or after it. */
export type Cancel = () => void;

/** Options of {@link StartQueue.add}. */
export type StartOptions = {
  /**
   * Whether the caller of the request has left, although the request is not
   * cancelled yet.
   */
  isGone?: () => boolean;
};

type Waiting = {
  readonly start: () => Cancel;
  readonly isGone: () => boolean;
  /** Polls for input until it was added. */
  readonly addedAtPoll: number;
  /** Set when it has been started. */
  cancel: Cancel | undefined;
};

/**
 * Starts requests at once, or, while the process is behind with its input, after
 * the event loop has polled for input once more: a close of the connection or a
 * cancel that arrived behind a request is then known. Requests start in the order
 * in which they were added, in slices between which input is read.
 *
 * @example
 * const cancel = starts.add(() => forward(request));
 * connection.on("close", cancel);
 */
export class StartQueue {
  readonly #inputDelay: Pick<InputDelay, "isBehind">;
  readonly #waiting = new Set<Waiting>();
  #pollsCount = 0;
  #delayedCount = 0;
  #droppedCount = 0;

  /**
   * @param inputDelay Delay of the input of this process.
   */
  constructor(inputDelay: Pick<InputDelay, "isBehind">) {
    this.#inputDelay = inputDelay;
  }

  /** Whether a request that is added now is delayed. */
  get isDelaying(): boolean {
    return this.#waiting.size > 0 || this.#inputDelay.isBehind;
  }

  /** Number of requests that have not been started. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of requests that were delayed since the start of the process. */
  get delayedCount(): number {
    return this.#delayedCount;
  }

  /** Number of those that were not started, because their callers had left. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Starts a request now or later.
   *
   * @param start Starts the request and returns how to cancel it.
   * @param options Whether the caller has left.
   * @returns Cancels the request.
   */
  add(
    start: () => Cancel,
    { isGone = () => false }: StartOptions = {},
  ): Cancel {
    if (!this.isDelaying) {
      return start();
    }
    if (this.#waiting.size === 0) {
      setImmediate(() => this.#startPolled());
    }
    const waiting: Waiting = {
      start,
      isGone,
      addedAtPoll: this.#pollsCount,
      cancel: undefined,
    };
    this.#waiting.add(waiting);
    this.#delayedCount++;
    return () => {
      this.#droppedCount += this.#waiting.delete(waiting) ? 1 : 0;
      waiting.cancel?.();
    };
  }

  /**
   * Starts the requests behind which input has been polled for. Runs after each
   * poll of the event loop.
   */
  #startPolled(): void {
    const endsAtMs = performance.now() + SLICE_MS;
    for (const waiting of this.#waiting) {
      if (
        waiting.addedAtPoll === this.#pollsCount || performance.now() > endsAtMs
      ) {
        break;
      }
      this.#waiting.delete(waiting);
      this.#start(waiting);
    }
    this.#pollsCount++;
    if (this.#waiting.size > 0) {
      setImmediate(() => this.#startPolled());
    }
  }

  #start(waiting: Waiting): void {
    if (waiting.isGone()) {
      this.#droppedCount++;
      return;
    }
    waiting.cancel = waiting.start();
  }
}
