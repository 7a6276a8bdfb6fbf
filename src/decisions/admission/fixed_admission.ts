/** Baseline admission: a fixed limit and one queue without classes. */
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

/** Options of {@link FixedAdmission}. */
export type FixedAdmissionOptions = {
  /** Requests that may run at once. */
  slotsCount: number;
  /** Requests that may wait. */
  queueMaxCount: number;
  /** Longest wait, in ms. */
  queueAgeMaxMs: number;
};

type Waiting = { request: AdmissionRequest; sinceMs: number };

/** Admits requests first come, first served, up to a fixed limit and queue. */
export class FixedAdmission implements AdmissionPolicy {
  #options: FixedAdmissionOptions;
  readonly #queue: Waiting[] = [];
  #limitCount: number;
  #inFlightCount = 0;

  /**
   * @param options Limit, queue length and queue age.
   */
  constructor(options: FixedAdmissionOptions) {
    this.#options = options;
    this.#limitCount = options.slotsCount;
  }

  /** @inheritdoc */
  offer(request: AdmissionRequest, nowMs: number): AdmissionDecision {
    if (this.#inFlightCount < this.#limitCount && this.#queue.length === 0) {
      this.#inFlightCount++;
      return { kind: "run" };
    }
    if (this.#queue.length >= this.#options.queueMaxCount) {
      return { kind: "refuse", error: "queue_full" };
    }
    this.#queue.push({ request, sinceMs: nowMs });
    return { kind: "wait" };
  }

  /** @inheritdoc */
  finish(_finished: FinishedRequest, _nowMs: number): void {
    this.#inFlightCount--;
  }

  /** @inheritdoc */
  cancel(ticket: number): void {
    const index = this.#queue.findIndex((entry) =>
      entry.request.ticket === ticket
    );
    if (index >= 0) {
      this.#queue.splice(index, 1);
    }
  }

  /** @inheritdoc */
  poll(nowMs: number): QueueDecision[] {
    const decisions: QueueDecision[] = [];
    const oldestMs = nowMs - this.#options.queueAgeMaxMs;
    while (this.#queue.length > 0) {
      const [head] = this.#queue as [Waiting];
      const { ticket } = head.request;
      if (head.sinceMs < oldestMs) {
        this.#queue.shift();
        decisions.push({
          ticket,
          decision: { kind: "refuse", error: "queue_timeout" },
        });
        continue;
      }
      if (this.#inFlightCount >= this.#limitCount) {
        break;
      }
      this.#queue.shift();
      this.#inFlightCount++;
      decisions.push({ ticket, decision: { kind: "run" } });
    }
    return decisions;
  }

  /** @inheritdoc */
  load(): LoadState {
    return {
      levelRank: RANKS_COUNT,
      inFlightCount: this.#inFlightCount,
      limitCount: this.#limitCount,
      queuedCount: this.#queue.length,
    };
  }

  /** @inheritdoc */
  configure({ queueMaxCount, queueAgeMaxMs }: AdmissionRules): void {
    this.#options = { ...this.#options, queueMaxCount, queueAgeMaxMs };
  }

  /** @inheritdoc */
  resize(slotsCount: number): void {
    this.#limitCount = slotsCount;
  }

  /** @inheritdoc */
  reportLoad(_inFlightCount: number, _nowMs: number): void {
    // The baseline ignores load reports.
  }
}
