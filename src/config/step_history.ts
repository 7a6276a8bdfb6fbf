/** Recent steps that let a peer catch up without a full copy. */
import type { ConfigHead, ConfigStep } from "../schemas/config_schema.ts";
import { compareHeads } from "./generation_rule.ts";

// Larger steps are neither flooded nor kept; peers fetch a full copy in chunks.
const STEP_MAX_BYTES = 262_144;
const HISTORY_MAX_BYTES = 262_144;
// A daemon that missed floods catches up by steps when it is at most this many
// generations behind; with 15,000 changes a day this covers about six minutes.
const HISTORY_MAX_COUNT = 64;

type KeptStep = { step: ConfigStep; sizeBytes: number };

/**
 * Computes the size of a step.
 *
 * @param step Step between two generations.
 * @returns Encoded size of the step's delta, in bytes.
 */
export function computeStepBytes(step: ConfigStep): number {
  return Buffer.byteLength(JSON.stringify(step.delta));
}

/**
 * Returns whether a step is small enough to be sent as one message.
 *
 * @param step Step between two generations.
 * @returns True up to `STEP_MAX_BYTES`.
 */
export function isStepSmall(step: ConfigStep): boolean {
  return computeStepBytes(step) <= STEP_MAX_BYTES;
}

/**
 * Consecutive steps up to the configuration in force, bounded by count and
 * size.
 *
 * @example
 * history.add(step);
 * history.stepsFrom(peerHead);
 */
export class StepHistory {
  #kept: KeptStep[] = [];

  /**
   * Adds the step that led to the configuration in force.
   *
   * @param step Step; undefined when there is none or it is too large, which
   * clears the history.
   */
  add(step: ConfigStep | undefined): void {
    if (step === undefined) {
      this.#kept = [];
      return;
    }
    const kept = [...this.#kept, { step, sizeBytes: computeStepBytes(step) }]
      .slice(-HISTORY_MAX_COUNT);
    let totalBytes = kept.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
    while (totalBytes > HISTORY_MAX_BYTES) {
      totalBytes -= kept.shift()?.sizeBytes ?? totalBytes;
    }
    this.#kept = kept;
  }

  /**
   * Lists the steps from a generation to the one in force.
   *
   * @param head Generation and digest to start from.
   * @returns Steps in order; empty when they are not kept.
   */
  stepsFrom(head: ConfigHead): ConfigStep[] {
    const first = this.#kept.findIndex(({ step }) =>
      compareHeads(head, step.base) === "same"
    );
    return first < 0 ? [] : this.#kept.slice(first).map(({ step }) => step);
  }
}
