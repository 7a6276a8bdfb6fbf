/** Running requests of one upstream and the queue for its slots. */

/** Request that needs a slot. */
export type SlotRequest = {
  /** Latency goal as a monotonic time, in ms; a later answer has less value. */
  readonly goalAtMs: number;
};

/**
 * Bounded number of running requests with a queue ordered by latency goal
 * (earliest deadline first), so that short requests with tight goals overtake
 * calls whose goals are later.
 *
 * @example
 * const slots = new SlotQueue<Served>();
 * slots.setLimit(35);
 * if (slots.enter(request)) { run(request); }
 */
export class SlotQueue<R extends SlotRequest> {
  readonly #waiting: R[] = [];
  #runningCount = 0;
  #limitCount = 0;

  /** Number of running requests. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** Number of requests that may run at once. */
  get limitCount(): number {
    return this.#limitCount;
  }

  /**
   * Changes the number of requests that may run at once.
   *
   * @param limitCount New limit; running requests are not affected.
   */
  setLimit(limitCount: number): void {
    this.#limitCount = limitCount;
  }

  /**
   * Admits a request or makes it wait.
   *
   * @param request Arriving request.
   * @returns True when it may run now; false when it waits.
   */
  enter(request: R): boolean {
    if (this.#runningCount < this.#limitCount && this.#waiting.length === 0) {
      this.#runningCount++;
      return true;
    }
    this.wait(request);
    return false;
  }

  /**
   * Makes a request wait although a slot may be free.
   *
   * @param request Request that may not run yet.
   */
  wait(request: R): void {
    this.#waiting.splice(this.countAhead(request.goalAtMs), 0, request);
  }

  /** Releases the slot of a request that has ended. */
  release(): void {
    this.#runningCount--;
  }

  /**
   * Takes the next waiting request when a slot is free.
   *
   * @returns Request that runs now; undefined when none may.
   */
  takeNext(): R | undefined {
    if (this.#runningCount >= this.#limitCount) {
      return undefined;
    }
    const next = this.#waiting.shift();
    if (next !== undefined) {
      this.#runningCount++;
    }
    return next;
  }

  /**
   * Removes a waiting request.
   *
   * @param request Request that was cancelled or has expired.
   * @returns True when it was waiting.
   */
  remove(request: R): boolean {
    const index = this.#waiting.indexOf(request);
    if (index < 0) {
      return false;
    }
    this.#waiting.splice(index, 1);
    return true;
  }

  /**
   * Removes all waiting requests.
   *
   * @returns The removed requests.
   */
  clear(): R[] {
    return this.#waiting.splice(0);
  }

  /**
   * Counts the waiting requests that would run before a new one.
   *
   * @param goalAtMs Latency goal of the new one, as a monotonic time in ms.
   * @returns Requests with the same or a nearer goal.
   */
  countAhead(goalAtMs: number): number {
    let low = 0;
    let high = this.#waiting.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#waiting[middle]!.goalAtMs <= goalAtMs) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
