/** Slots of the upstream stand-in, with a queue in order of arrival. */

type Waiter = { start: () => void };

/** Bounds the requests that run at once. */
export class WorkSlots {
  readonly #waiters: Waiter[] = [];
  #slotsCount: number;
  #runningCount = 0;

  /**
   * @param slotsCount Requests that run at once.
   */
  constructor(slotsCount: number) {
    this.#slotsCount = slotsCount;
  }

  /** Requests that run. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.#waiters.length;
  }

  /**
   * Changes the number of slots.
   *
   * @param slotsCount Requests that run at once.
   */
  resize(slotsCount: number): void {
    this.#slotsCount = slotsCount;
    this.#startWaiters();
  }

  /**
   * Acquires a slot, and waits for one if none is free.
   *
   * @param signal Aborts the wait.
   * @returns Resolves when the slot is acquired.
   * @throws The signal's reason when it is aborted first.
   */
  acquire(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
        reject(signal.reason);
      };
      const waiter = {
        start: () => {
          signal.removeEventListener("abort", onAbort);
          this.#runningCount++;
          resolve();
        },
      };
      signal.throwIfAborted();
      signal.addEventListener("abort", onAbort, { once: true });
      this.#waiters.push(waiter);
      this.#startWaiters();
    });
  }

  /** Releases a slot that was acquired. */
  release(): void {
    this.#runningCount--;
    this.#startWaiters();
  }

  #startWaiters(): void {
    while (
      this.#waiters.length > 0 && this.#runningCount < this.#slotsCount
    ) {
      this.#waiters.shift()?.start();
    }
  }
}
