/** Runs callbacks in the order of their virtual times. */

type Entry = { readonly atMs: number; readonly order: number; run: () => void };

function isBefore(a: Entry, b: Entry): boolean {
  return a.atMs !== b.atMs ? a.atMs < b.atMs : a.order < b.order;
}

/**
 * Binary heap of callbacks with one virtual clock.
 *
 * @example
 * schedule.at(100, () => core.handle({ kind: "tick" }, schedule.nowMs));
 * schedule.runUntil(5_000);
 */
export class VirtualSchedule {
  readonly #heap: Entry[] = [];
  #nowMs = 0;
  #order = 0;

  /** Virtual time, in ms. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules a callback; a time in the past counts as the current time. */
  at(atMs: number, run: () => void): void {
    this.#order++;
    const entry = {
      atMs: Math.max(atMs, this.#nowMs),
      order: this.#order,
      run,
    };
    this.#heap.push(entry);
    this.#siftUp(this.#heap.length - 1);
  }

  /**
   * Runs all callbacks up to a time.
   *
   * @param untilMs Virtual time at which to stop.
   */
  runUntil(untilMs: number): void {
    while ((this.#heap[0]?.atMs ?? Infinity) <= untilMs) {
      const entry = this.#pop();
      this.#nowMs = entry.atMs;
      entry.run();
    }
    this.#nowMs = untilMs;
  }

  #pop(): Entry {
    const first = this.#heap[0] as Entry;
    const last = this.#heap.pop() as Entry;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      if (!this.#swapIfBefore(index, parent)) {
        return;
      }
      index = parent;
    }
  }

  #siftDown(): void {
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      const hasSmallerRight = right < this.#heap.length &&
        isBefore(this.#heap[right] as Entry, this.#heap[left] as Entry);
      const child = hasSmallerRight ? right : left;
      if (child >= this.#heap.length || !this.#swapIfBefore(child, index)) {
        return;
      }
      index = child;
    }
  }

  #swapIfBefore(child: number, parent: number): boolean {
    const a = this.#heap[child] as Entry;
    const b = this.#heap[parent] as Entry;
    if (!isBefore(a, b)) {
      return false;
    }
    this.#heap[child] = b;
    this.#heap[parent] = a;
    return true;
  }
}
