/** Schedules probes and detects failures from their results. */
import type { PeerFailure } from "../core/peer_transport.ts";
import type { MemberVersion } from "../schemas/member_schema.ts";

/** Time between two probes of a member, in ms. */
export const PROBE_INTERVAL_MS = 1_000;
/** Timeout of a probe, in ms. */
export const PROBE_TIMEOUT_MS = 500;
const MISSES_TO_SUSPECT_COUNT = 2;
const REFUSALS_TO_CONFIRM_COUNT = 2;
/**
 * Upper bound of the misses needed for a suspicion. The number doubles with
 * each refutation, to limit the floods about a member that answers late, or
 * that others reach but this observer does not, as when a connection fails in
 * one direction.
 */
const MISSES_TO_SUSPECT_MAX_COUNT = 16;
/** Consecutive answers that halve the misses needed for a suspicion. */
const ACKS_TO_RECOVER_COUNT = 10;

/**
 * Conclusion of an observer from a failed probe: `suspect` starts a suspicion,
 * `gone` confirms that the process has ended.
 */
export type ProbeConclusion = "none" | "suspect" | "gone";

type Target = {
  nextMs: number;
  isAnswerAwaited: boolean;
  acksCount: number;
  missesCount: number;
  refusalsCount: number;
  /** Consecutive misses that start a suspicion. */
  missesToSuspectCount: number;
  /** Version that this observer suspects; undefined while it suspects none. */
  suspected: MemberVersion | undefined;
};

/** Failure of a probe, and the facts needed to evaluate it. */
export type FailedProbe = {
  /** `replaced` when another instance answered at the member's address. */
  failure: PeerFailure | "replaced";
  /** Whether this daemon's event loop was late while the probe was pending. */
  isLoopLate: boolean;
  /** Current version of the member. */
  version: MemberVersion;
};

/**
 * Schedules probes of the observed members. Two consecutive misses cause a
 * suspicion; each refutation doubles this number, and a series of answers
 * halves it again. Two consecutive refused connections, or answers of another
 * instance, confirm that the process has ended.
 */
export class FailureDetector {
  readonly #targets = new Map<string, Target>();

  /** Number of observed members. */
  get targetsCount(): number {
    return this.#targets.size;
  }

  /** Whether a member is observed. */
  observes(instanceId: string): boolean {
    return this.#targets.has(instanceId);
  }

  /**
   * Replaces the observed members. The first probes of new members are spread
   * over one interval.
   *
   * @param instanceIds Members to observe.
   * @param nowMs Monotonic time, in ms.
   */
  setTargets(instanceIds: readonly string[], nowMs: number): void {
    for (const known of [...this.#targets.keys()]) {
      if (!instanceIds.includes(known)) {
        this.#targets.delete(known);
      }
    }
    instanceIds.forEach((instanceId, index) => {
      if (this.#targets.has(instanceId)) {
        return;
      }
      this.#targets.set(instanceId, {
        nextMs: nowMs + (index * PROBE_INTERVAL_MS) / instanceIds.length,
        isAnswerAwaited: false,
        acksCount: 0,
        missesCount: 0,
        refusalsCount: 0,
        missesToSuspectCount: MISSES_TO_SUSPECT_COUNT,
        suspected: undefined,
      });
    });
  }

  /**
   * Takes the members whose probe is due.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Members to probe now.
   */
  takeDue(nowMs: number): string[] {
    const due: string[] = [];
    for (const [instanceId, target] of this.#targets) {
      if (target.isAnswerAwaited || target.nextMs > nowMs) {
        continue;
      }
      target.isAnswerAwaited = true;
      target.nextMs = Math.max(
        target.nextMs + PROBE_INTERVAL_MS,
        nowMs + PROBE_INTERVAL_MS / 2,
      );
      due.push(instanceId);
    }
    return due;
  }

  /** Records that a member answered a probe. */
  recordAnswer(instanceId: string): void {
    const target = this.#targets.get(instanceId);
    if (target === undefined) {
      return;
    }
    target.isAnswerAwaited = false;
    target.missesCount = 0;
    target.refusalsCount = 0;
    target.acksCount++;
    if (target.acksCount % ACKS_TO_RECOVER_COUNT === 0) {
      target.missesToSuspectCount = Math.max(
        target.missesToSuspectCount / 2,
        MISSES_TO_SUSPECT_COUNT,
      );
    }
  }

  /**
   * Records that a probe failed.
   *
   * @param instanceId Probed member.
   * @param probe Failure, lateness of the event loop, and the member's version.
   * @returns Conclusion for the caller to apply.
   */
  recordFailure(instanceId: string, probe: FailedProbe): ProbeConclusion {
    const target = this.#targets.get(instanceId);
    if (target === undefined) {
      return "none";
    }
    target.isAnswerAwaited = false;
    const isRefused = probe.failure === "refused" ||
      probe.failure === "replaced";
    target.refusalsCount = isRefused ? target.refusalsCount + 1 : 0;
    if (target.refusalsCount >= REFUSALS_TO_CONFIRM_COUNT) {
      return "gone";
    }
    if (probe.isLoopLate) {
      target.missesCount = 0;
      return "none";
    }
    return this.#countMiss(target, probe.version);
  }

  #countMiss(target: Target, version: MemberVersion): ProbeConclusion {
    target.missesCount++;
    target.acksCount = 0;
    this.#applyRefutation(target, version);
    if (
      target.missesCount < target.missesToSuspectCount ||
      target.suspected !== undefined
    ) {
      return "none";
    }
    target.suspected = version;
    return "suspect";
  }

  /**
   * Ends the suspicion when the member has a newer version. The current miss is
   * then the first one of the new version.
   */
  #applyRefutation(target: Target, version: MemberVersion): void {
    const { suspected } = target;
    if (suspected === undefined) {
      return;
    }
    if (suspected.incarnationEpochMs !== version.incarnationEpochMs) {
      target.suspected = undefined;
      target.missesCount = 1;
      target.missesToSuspectCount = MISSES_TO_SUSPECT_COUNT;
    } else if (suspected.sequence < version.sequence) {
      target.suspected = undefined;
      target.missesCount = 1;
      target.missesToSuspectCount = Math.min(
        target.missesToSuspectCount * 2,
        MISSES_TO_SUSPECT_MAX_COUNT,
      );
    }
  }
}
