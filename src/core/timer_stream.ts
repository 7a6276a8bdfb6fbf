/** Periodic stream whose timer is cleared when the stream ends. */
import { type Stream, Stream as MostStream } from "most";

type Sink = { event(timeMs: number, value: number): void };

/**
 * Emits the monotonic time on the next iteration of the Node.js event loop and
 * then periodically. The periodic stream of `most` keeps its timer until the
 * first tick after the end of the stream, which kept a stopped process alive for
 * up to 30 s.
 *
 * @param intervalMs Time between two events, in ms.
 * @returns Stream of monotonic times, in ms.
 *
 * @example
 * timerStream(1_000).observe((nowMs) => console.log(nowMs));
 */
export function timerStream(intervalMs: number): Stream<number> {
  return new MostStream<number>({
    run(sink: Sink) {
      const emit = () => sink.event(performance.now(), performance.now());
      const first = setImmediate(emit);
      const timer = setInterval(emit, intervalMs);
      return {
        dispose() {
          clearImmediate(first);
          clearInterval(timer);
          return Promise.resolve();
        },
      };
    },
    // deno-lint-ignore no-explicit-any -- most's typings omit the source's shape
  } as any);
}
