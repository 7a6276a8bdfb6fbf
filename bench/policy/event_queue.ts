/** Events in the order of their virtual times. */

type Event = { readonly atMs: number; readonly order: number; run(): void };

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Binary heap of events that advances a virtual monotonic clock. */
export class EventQueue {
  /** Virtual monotonic time, in ms. */
  nowMs = 0;
  readonly #heap: Event[] = [];
  #nextOrder = 0;

  /**
   * Schedules an event.
   *
   * @param delayMs Time from now, in ms.
   * @param run Called at that time.
   */
  after(delayMs: number, run: () => void): void {
    const event = { atMs: this.nowMs + delayMs, order: this.#nextOrder++, run };
    let index = this.#heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this.#heap[parent] as Event)) {
        break;
      }
      this.#heap[index] = this.#heap[parent] as Event;
      index = parent;
    }
    this.#heap[index] = event;
  }

  /**
   * Runs all events up to a time.
   *
   * @param endMs Virtual time at which the run ends.
   */
  runUntil(endMs: number): void {
    while (this.#heap.length > 0 && (this.#heap[0] as Event).atMs <= endMs) {
      const event = this.#takeFirst();
      this.nowMs = event.atMs;
      event.run();
    }
  }

  #takeFirst(): Event {
    const first = this.#heap[0] as Event;
    const last = this.#heap.pop() as Event;
    if (this.#heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.#heap.length) {
        break;
      }
      const right = this.#heap[child + 1];
      if (
        right !== undefined && isBefore(right, this.#heap[child] as Event)
      ) {
        child++;
      }
      if (!isBefore(this.#heap[child] as Event, last)) {
        break;
      }
      this.#heap[index] = this.#heap[child] as Event;
      index = child;
    }
    this.#heap[index] = last;
    return first;
  }
}

/**
 * Timeouts that are rounded up to steps and share one event per step, because
 * most of them are no longer needed when they are due.
 */
export class CoarseTimeouts {
  readonly #events: EventQueue;
  readonly #stepMs: number;
  readonly #due = new Map<number, (() => void)[]>();

  /**
   * @param events Virtual time.
   * @param stepMs Length of a step, in ms.
   */
  constructor(events: EventQueue, stepMs: number) {
    this.#events = events;
    this.#stepMs = stepMs;
  }

  /**
   * Schedules a timeout.
   *
   * @param atMs Virtual time in ms, rounded up to the next step.
   * @param run Called at that time.
   */
  at(atMs: number, run: () => void): void {
    const step = Math.ceil(atMs / this.#stepMs);
    const list = this.#due.get(step);
    if (list !== undefined) {
      list.push(run);
      return;
    }
    this.#due.set(step, [run]);
    this.#events.after(step * this.#stepMs - this.#events.nowMs, () => {
      const due = this.#due.get(step) ?? [];
      this.#due.delete(step);
      due.forEach((timeout) => timeout());
    });
  }
}
