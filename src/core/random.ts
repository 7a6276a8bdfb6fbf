/** Seeded random numbers. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Random number generator that decisions receive as an argument. */
export interface RandomSource {
  /** Returns an integer in `[0, bound)`; `bound` is at least 1. */
  nextInt(bound: number): number;
  /** Returns a number in `[0, 1)`. */
  nextFloat(): number;
}

const FLOAT_STEPS = 0x7fffffff;

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
    return this.nextInt(FLOAT_STEPS) / FLOAT_STEPS;
  }
}
