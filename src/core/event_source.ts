/** Stream of the library `most` whose events come from callbacks. */
import { type Stream, Stream as MostStream } from "most";

type Sink<E> = { event(timeMs: number, value: E): void };

/**
 * Stream to which callbacks emit events. Events that are emitted while nothing
 * observes the stream are dropped.
 *
 * @example
 * const source = new EventSource<string>();
 * source.stream.observe(console.log);
 * source.emit("started");
 */
export class EventSource<E> {
  readonly stream: Stream<E>;
  readonly #sinks = new Set<Sink<E>>();

  constructor() {
    const sinks = this.#sinks;
    this.stream = new MostStream<E>({
      run(sink: Sink<E>) {
        sinks.add(sink);
        return {
          dispose() {
            sinks.delete(sink);
            return Promise.resolve();
          },
        };
      },
      // deno-lint-ignore no-explicit-any -- most's typings omit the source's shape
    } as any);
  }

  /**
   * Delivers an event synchronously to all observers.
   *
   * @param event Event to deliver.
   */
  emit(event: E): void {
    for (const sink of this.#sinks) {
      sink.event(performance.now(), event);
    }
  }
}
