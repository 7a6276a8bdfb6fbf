/** Bound on the memory of the answers that are being received. */

/** An answer of which a part is buffered. */
export interface AnswerBuffer {
  /**
   * Number of buffered bytes; written by {@link AnswerMemory} only. 0 after the
   * answer is released.
   */
  bodyBytes: number;
  /** Aborts the answer; it is released while or after this is called. */
  discard(): void;
}

/**
 * Answers below this share of the maximum are counted, but not compared. Nearly
 * all answers are, and a set with an entry for each of them costs garbage
 * collection.
 */
const COMPARED_MIN_RATIO = 1 / 1_024;

/**
 * Counts the buffered bytes of all answers and discards the largest answer when
 * there are too many. The others then have room, also while some upstream sends
 * without end.
 *
 * @example
 * const memory = new AnswerMemory(67_108_864);
 * memory.add(answer, chunk.length);
 */
export class AnswerMemory {
  readonly #maxBytes: number;
  readonly #comparedMinBytes: number;
  readonly #answers = new Set<AnswerBuffer>();
  #totalBytes = 0;

  /**
   * @param maxBytes Maximum number of buffered bytes of all answers.
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
    this.#comparedMinBytes = maxBytes * COMPARED_MIN_RATIO;
  }

  /**
   * Counts buffered bytes of an answer. If there are too many, the largest answer
   * is discarded, which may be this one.
   *
   * @param answer Answer that has received a chunk.
   * @param bytes Size of the chunk.
   */
  add(answer: AnswerBuffer, bytes: number): void {
    answer.bodyBytes += bytes;
    this.#totalBytes += bytes;
    if (answer.bodyBytes >= this.#comparedMinBytes) {
      this.#answers.add(answer);
    }
    if (this.#totalBytes <= this.#maxBytes) {
      return;
    }
    const largest = [...this.#answers].reduce(
      (a, b) => b.bodyBytes > a.bodyBytes ? b : a,
      answer,
    );
    this.release(largest);
    largest.discard();
  }

  /**
   * Releases an answer, which is complete, has failed or is discarded.
   *
   * @param answer Answer; nothing happens if it was released before.
   */
  release(answer: AnswerBuffer): void {
    this.#totalBytes -= answer.bodyBytes;
    if (answer.bodyBytes >= this.#comparedMinBytes) {
      this.#answers.delete(answer);
    }
    answer.bodyBytes = 0;
  }
}
