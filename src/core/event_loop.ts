/** Dispatches the control events of a daemon's parts in order, one at a time. */
import { mergeArray, type Stream } from "most";
import { EventSource } from "./event_source.ts";

/** Component of the daemon that consumes control events. */
export interface ControlPart<E> {
  /** Name for logs. */
  readonly name: string;
  /** Stream of the events that the part consumes. */
  readonly inputs: Stream<E>;
  /** Handles one event. Must not block; a promise is only checked for errors. */
  handle(event: E): void | Promise<void>;
}

/** Called when a part fails to handle an event. */
export type ControlErrorHandler = (partName: string, error: unknown) => void;

type Delivery = { partName: string; deliver: () => void | Promise<void> };

/**
 * Merges the inputs of all parts into one stream with one observer, so that
 * control events are dispatched one after the other on one thread.
 *
 * @example
 * const loop = new EventLoop((name, error) => log.error(name, error));
 * loop.register(membership);
 * loop.start();
 * await loop.stop();
 */
export class EventLoop {
  readonly #streams: Stream<Delivery>[] = [];
  readonly #onError: ControlErrorHandler;
  readonly #stopped = new EventSource<true>();
  #finished: Promise<unknown> = Promise.resolve();

  /**
   * @param onError Called with the errors of parts; the loop continues.
   */
  constructor(onError: ControlErrorHandler) {
    this.#onError = onError;
  }

  /**
   * Adds a part. Must be called before {@link EventLoop.start}.
   *
   * @param part Consumer of a stream of events.
   */
  register<E>(part: ControlPart<E>): void {
    const deliveries = part.inputs.map((event) => ({
      partName: part.name,
      deliver: () => part.handle(event),
    }));
    this.#streams.push(deliveries);
  }

  /** Starts dispatching. */
  start(): void {
    this.#finished = mergeArray(this.#streams)
      .until(this.#stopped.stream)
      .observe((delivery) => this.#dispatch(delivery));
  }

  /** Stops dispatching; resolves when the stream has ended. */
  async stop(): Promise<void> {
    this.#stopped.emit(true);
    await this.#finished;
  }

  #dispatch({ partName, deliver }: Delivery): void {
    try {
      const result = deliver();
      if (result instanceof Promise) {
        result.catch((error: unknown) => this.#onError(partName, error));
      }
    } catch (error) {
      this.#onError(partName, error);
    }
  }
}
