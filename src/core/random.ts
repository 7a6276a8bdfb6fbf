/** Seeded random numbers. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Random number generator, passed as an argument to code that needs one. */
export interface RandomSource {
  /** Returns an integer in `[0, bound)`; `bound` is at least 1. */
  nextInt(bound: number): number;
  /** Returns a number in `[0, 1)`. */
  nextFloat(): number;
}

/** Number of distinct values of {@link SeededRandom.nextFloat}. */
const FLOAT_VALUES_COUNT = 0x7fffffff;

/** Deterministic generator: the same seed gives the same sequence. */
export class SeededRandom implements RandomSource {
  readonly #generator: RandomGenerator;

  /**
   * @param seed Integer seed.
   */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** @inheritdoc */
  nextInt(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  /** @inheritdoc */
  nextFloat(): number {
    return this.nextInt(FLOAT_VALUES_COUNT) / FLOAT_VALUES_COUNT;
  }
}
