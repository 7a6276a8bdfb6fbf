/** Queue of waiting requests ordered by importance class. */
import {
  ADMISSION_KEYS_COUNT,
  CLASSES_COUNT,
  RANKS_COUNT,
} from "./importance.ts";
import type { AdmissionRequest } from "./admission_policy.ts";

const WORD_BITS = 32;

/** A waiting request. */
export type QueueEntry = {
  readonly request: AdmissionRequest;
  /** Rank with depth and tenant share applied. */
  readonly rank: number;
  /** Monotonic time at which the request began to wait, in ms. */
  readonly sinceMs: number;
};

type Node = QueueEntry & {
  olderInClass?: Node | undefined;
  newerInClass?: Node | undefined;
  olderInRank?: Node | undefined;
  newerInRank?: Node | undefined;
};

function classOf(rank: number): number {
  return Math.floor(rank / ADMISSION_KEYS_COUNT);
}

/**
 * Queue in which every operation takes constant time: each entry is a node of
 * two linked lists, one per class for the order of dispatch and age, and one
 * per rank to find the least important entry through a bit set.
 *
 * @example
 * const queue = new RankQueue();
 * queue.push({ request, rank: 300, sinceMs: nowMs });
 * queue.take("newest-first")?.request.ticket;
 */
export class RankQueue {
  readonly #byTicket = new Map<number, Node>();
  readonly #oldest: (Node | undefined)[] = new Array(CLASSES_COUNT);
  readonly #newest: (Node | undefined)[] = new Array(CLASSES_COUNT);
  readonly #newestOfRank: (Node | undefined)[] = new Array(RANKS_COUNT);
  readonly #usedRanks = new Uint32Array(RANKS_COUNT / WORD_BITS);
  readonly #classCounts = new Array<number>(CLASSES_COUNT).fill(0);

  /** Number of waiting entries. */
  get size(): number {
    return this.#byTicket.size;
  }

  /**
   * Appends an entry.
   *
   * @param entry Entry; its `sinceMs` is not before that of earlier entries.
   */
  push(entry: QueueEntry): void {
    const node: Node = { ...entry };
    const classIndex = classOf(node.rank);
    this.#byTicket.set(node.request.ticket, node);
    this.#classCounts[classIndex] = this.countInClass(classIndex) + 1;
    this.#linkClass(node, classIndex);
    this.#linkRank(node);
  }

  /**
   * Removes the next entry to run: of the most important class, the oldest or,
   * under overload, the newest one.
   *
   * @param order Order within the class.
   * @returns Entry; undefined when the queue is empty.
   */
  take(order: "oldest-first" | "newest-first"): QueueEntry | undefined {
    const ends = order === "oldest-first" ? this.#oldest : this.#newest;
    const node = ends.find((end) => end !== undefined);
    return node === undefined ? undefined : this.#unlink(node);
  }

  /**
   * Removes an entry that began to wait before the time limit of its class.
   *
   * @param beforeMs Monotonic time of each class, in ms.
   * @returns Oldest entry of the most important class that has one; undefined
   * without one.
   */
  takeOlderThan(beforeMs: readonly number[]): QueueEntry | undefined {
    const node = this.#oldest.find((end, classIndex) =>
      end !== undefined && end.sinceMs < (beforeMs[classIndex] as number)
    );
    return node === undefined ? undefined : this.#unlink(node);
  }

  /**
   * Finds the least important entry: of the highest rank, the newest one.
   *
   * @returns Entry; undefined when the queue is empty.
   */
  leastImportant(): QueueEntry | undefined {
    for (let word = this.#usedRanks.length - 1; word >= 0; word--) {
      const bits = this.#usedRanks[word] as number;
      if (bits !== 0) {
        const rank = word * WORD_BITS + WORD_BITS - 1 - Math.clz32(bits);
        return this.#newestOfRank[rank];
      }
    }
    return undefined;
  }

  /**
   * Removes an entry by its ticket.
   *
   * @param ticket Ticket of the request.
   * @returns The entry; undefined when it does not wait.
   */
  remove(ticket: number): QueueEntry | undefined {
    const node = this.#byTicket.get(ticket);
    return node === undefined ? undefined : this.#unlink(node);
  }

  /**
   * Counts the entries of one class.
   *
   * @param classIndex Index of the class, most important first.
   * @returns Number of entries.
   */
  countInClass(classIndex: number): number {
    return this.#classCounts[classIndex] ?? 0;
  }

  /**
   * Counts the entries of all classes that are more important than a class.
   *
   * @param classIndex Index of the class, most important first.
   * @returns Number of entries.
   */
  countAboveClass(classIndex: number): number {
    let count = 0;
    for (let index = 0; index < classIndex; index++) {
      count += this.countInClass(index);
    }
    return count;
  }

  /**
   * Monotonic time at which the oldest entry began to wait, in ms; undefined
   * when the queue is empty.
   */
  oldestSinceMs(): number | undefined {
    let oldestMs: number | undefined;
    for (const node of this.#oldest) {
      if (node !== undefined && node.sinceMs < (oldestMs ?? Infinity)) {
        oldestMs = node.sinceMs;
      }
    }
    return oldestMs;
  }

  #linkClass(node: Node, classIndex: number): void {
    const newest = this.#newest[classIndex];
    node.olderInClass = newest;
    if (newest === undefined) {
      this.#oldest[classIndex] = node;
    } else {
      newest.newerInClass = node;
    }
    this.#newest[classIndex] = node;
  }

  #linkRank(node: Node): void {
    const newest = this.#newestOfRank[node.rank];
    node.olderInRank = newest;
    if (newest !== undefined) {
      newest.newerInRank = node;
    }
    this.#newestOfRank[node.rank] = node;
    const word = Math.floor(node.rank / WORD_BITS);
    this.#usedRanks[word]! |= 1 << (node.rank % WORD_BITS);
  }

  #unlink(node: Node): QueueEntry {
    const classIndex = classOf(node.rank);
    this.#byTicket.delete(node.request.ticket);
    this.#classCounts[classIndex] = this.countInClass(classIndex) - 1;
    this.#unlinkClass(node, classIndex);
    this.#unlinkRank(node);
    return node;
  }

  #unlinkClass(node: Node, classIndex: number): void {
    if (node.olderInClass === undefined) {
      this.#oldest[classIndex] = node.newerInClass;
    } else {
      node.olderInClass.newerInClass = node.newerInClass;
    }
    if (node.newerInClass === undefined) {
      this.#newest[classIndex] = node.olderInClass;
    } else {
      node.newerInClass.olderInClass = node.olderInClass;
    }
  }

  #unlinkRank(node: Node): void {
    if (node.olderInRank !== undefined) {
      node.olderInRank.newerInRank = node.newerInRank;
    }
    if (node.newerInRank !== undefined) {
      node.newerInRank.olderInRank = node.olderInRank;
      return;
    }
    this.#newestOfRank[node.rank] = node.olderInRank;
    if (node.olderInRank === undefined) {
      const word = Math.floor(node.rank / WORD_BITS);
      this.#usedRanks[word]! &= ~(1 << (node.rank % WORD_BITS));
    }
  }
}
