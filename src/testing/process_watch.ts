/** Watches the memory and the descriptors of a child process, for tests. */
import { readdirSync, readFileSync } from "node:fs";

const BYTES_PER_KIB = 1_024;
const SAMPLE_INTERVAL_MS = 20;

/** A process that is watched; a child process of Node.js is one. */
export type WatchedProcess = {
  readonly pid?: number | undefined;
  /** Set when the process has ended by itself. */
  readonly exitCode: number | null;
  /** Set when the process has been ended by a signal. */
  readonly signalCode: string | null;
};

/**
 * Returns the largest memory of a process since its start.
 *
 * @param process Running process.
 * @returns Resident memory, in bytes.
 * @throws When the process has ended.
 */
export function peakMemoryBytes(
  { pid }: Pick<WatchedProcess, "pid">,
): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kib = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kib) * BYTES_PER_KIB;
}

/** Largest use of resources of a process since the watch began. */
export type ProcessPeaks = {
  readonly memoryBytes: number;
  readonly descriptorsCount: number;
};

/**
 * Samples the open descriptors of a process. The largest memory is recorded by
 * the operating system.
 */
export class ProcessWatch {
  readonly #child: WatchedProcess;
  readonly #timer: NodeJS.Timeout;
  #memoryBytes = 0;
  #descriptorsCount = 0;

  /**
   * @param child Running process.
   */
  constructor(child: WatchedProcess) {
    this.#child = child;
    this.#timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** Whether the process has not ended. */
  get isAlive(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /**
   * Ends the watch.
   *
   * @returns Largest values, up to now or the end of the process.
   */
  stop(): ProcessPeaks {
    clearInterval(this.#timer);
    this.#sample();
    return {
      memoryBytes: this.#memoryBytes,
      descriptorsCount: this.#descriptorsCount,
    };
  }

  #sample(): void {
    const { pid } = this.#child;
    try {
      // The memory of a process that is ending is not reported.
      this.#memoryBytes = Math.max(
        this.#memoryBytes,
        peakMemoryBytes({ pid }) || 0,
      );
      const { length } = readdirSync(`/proc/${pid}/fd`);
      this.#descriptorsCount = Math.max(this.#descriptorsCount, length);
    } catch {
      // The process has ended; the peaks so far are reported.
    }
  }
}
