/** Baseline admission without a limit. */
import type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionRequest,
  AdmissionRules,
  FinishedRequest,
  LoadState,
  QueueDecision,
} from "./admission_policy.ts";
import { RANKS_COUNT } from "./importance.ts";

/** Runs every request at once. */
export class UnlimitedAdmission implements AdmissionPolicy {
  #slotsCount: number;
  #inFlightCount = 0;

  /**
   * @param slotsCount Announced slots, reported as the limit with answers.
   */
  constructor(slotsCount: number) {
    this.#slotsCount = slotsCount;
  }

  /** @inheritdoc */
  offer(_request: AdmissionRequest, _nowMs: number): AdmissionDecision {
    this.#inFlightCount++;
    return { kind: "run" };
  }

  /** @inheritdoc */
  finish(_finished: FinishedRequest, _nowMs: number): void {
    this.#inFlightCount--;
  }

  /** @inheritdoc */
  cancel(_ticket: number): void {
    // Nothing waits.
  }

  /** @inheritdoc */
  poll(_nowMs: number): QueueDecision[] {
    return [];
  }

  /** @inheritdoc */
  load(): LoadState {
    return {
      levelRank: RANKS_COUNT,
      inFlightCount: this.#inFlightCount,
      limitCount: this.#slotsCount,
      queuedCount: 0,
    };
  }

  /** @inheritdoc */
  configure(_rules: AdmissionRules): void {
    // The baseline has no rules.
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#slotsCount = slotsCount;
  }

  /** @inheritdoc */
  reportLoad(_inFlightCount: number, _nowMs: number): void {
    // The baseline ignores load reports.
  }
}
