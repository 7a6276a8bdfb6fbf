/** Virtual time for code that uses the global clock and timers. */
import { EventQueue } from "../policy/event_queue.ts";

/** Timer that {@link VirtualTime} returns instead of one of Node.js. */
type VirtualTimer = { isCleared: boolean };

/**
 * Replaces `performance.now`, `setTimeout` and `clearTimeout` while it is
 * installed, so that the classes of a daemon run on a virtual clock.
 *
 * @example
 * const time = new VirtualTime();
 * time.run(() => time.events.runUntil(40_000));
 */
export class VirtualTime {
  readonly events = new EventQueue();

  /**
   * Runs an action with the global clock and timers replaced.
   *
   * @param action Synchronous action.
   * @returns Result of the action.
   */
  run<T>(action: () => T): T {
    const { setTimeout, clearTimeout } = globalThis;
    const hadOwnNow = Object.hasOwn(performance, "now");
    const { now } = performance;
    performance.now = () => this.events.nowMs;
    globalThis.setTimeout =
      ((callback: () => void, delayMs: number) =>
        this.#start(callback, delayMs)) as unknown as typeof setTimeout;
    globalThis.clearTimeout = ((timer: VirtualTimer | undefined) => {
      if (timer !== undefined) {
        timer.isCleared = true;
      }
    }) as unknown as typeof clearTimeout;
    try {
      return action();
    } finally {
      Object.assign(globalThis, { setTimeout, clearTimeout });
      if (hadOwnNow) {
        performance.now = now;
      } else {
        Reflect.deleteProperty(performance, "now");
      }
    }
  }

  #start(callback: () => void, delayMs: number): VirtualTimer {
    const timer: VirtualTimer = { isCleared: false };
    this.events.after(delayMs, () => {
      if (!timer.isCleared) {
        callback();
      }
    });
    return timer;
  }
}
