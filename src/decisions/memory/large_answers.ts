/** Admission of requests by the memory that their answers will take. */
import { MovingAverage } from "../moving_average.ts";

/** Mean size of a route's answers from which on its requests may be refused. */
const LARGE_MIN_BYTES = 1_048_576;
/** Weight of the newest answer in the mean size of a route. */
const SIZE_WEIGHT = 0.2;

/** Answers of one route. */
type RouteAnswers = {
  /** Mean size; undefined before the first answer. */
  meanBytes: MovingAverage | undefined;
  /** Requests that have no answer yet. */
  openCount: number;
};

/**
 * Limits the bytes of large answers that a daemon holds for its callers. Answers
 * are held whole, so some callers that read slowly would exhaust the memory of
 * the process, and with it end the requests of all others. Routes with small
 * answers are always admitted.
 *
 * @example
 * const answers = new LargeAnswers(100_000_000);
 * if (answers.admits("bundle", heldBytes)) {
 *   answers.start("bundle");
 *   // Later, with the answer:
 *   answers.end("bundle", 20_000_000);
 * }
 */
export class LargeAnswers {
  readonly #maxBytes: number;
  readonly #byRoute = new Map<string, RouteAnswers>();

  /**
   * @param maxBytes Maximum bytes of the answers that are held or expected.
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Decides whether there is memory for one more answer of a route. One request
   * is always admitted while nothing is held or expected.
   *
   * @param routeName Route of the request.
   * @param heldBytes Bytes of the answers that callers have not read yet.
   * @returns False when the request should be refused for now.
   */
  admits(routeName: string, heldBytes: number): boolean {
    const ownBytes = this.#largeBytesOf(this.#byRoute.get(routeName));
    if (ownBytes === 0) {
      return true;
    }
    const otherBytes = heldBytes + this.#expectedBytes();
    return otherBytes === 0 || otherBytes + ownBytes <= this.#maxBytes;
  }

  /**
   * Counts an admitted request.
   *
   * @param routeName Route of the request.
   */
  start(routeName: string): void {
    this.#answersOf(routeName).openCount++;
  }

  /**
   * Counts the end of a request that was started.
   *
   * @param routeName Route of the request.
   * @param answerBytes Size of its answer; undefined without an answer of an
   *   upstream.
   */
  end(routeName: string, answerBytes?: number): void {
    const answers = this.#answersOf(routeName);
    answers.openCount--;
    if (answerBytes === undefined) {
      return;
    }
    answers.meanBytes ??= new MovingAverage(SIZE_WEIGHT, answerBytes);
    answers.meanBytes.add(answerBytes);
  }

  #expectedBytes(): number {
    let sumBytes = 0;
    for (const answers of this.#byRoute.values()) {
      sumBytes += answers.openCount * this.#largeBytesOf(answers);
    }
    return sumBytes;
  }

  /** Mean size of a route's answers if they are large; otherwise 0. */
  #largeBytesOf(answers: RouteAnswers | undefined): number {
    const meanBytes = answers?.meanBytes?.value ?? 0;
    return meanBytes >= LARGE_MIN_BYTES ? meanBytes : 0;
  }

  #answersOf(routeName: string): RouteAnswers {
    let answers = this.#byRoute.get(routeName);
    if (answers === undefined) {
      answers = { meanBytes: undefined, openCount: 0 };
      this.#byRoute.set(routeName, answers);
    }
    return answers;
  }
}
