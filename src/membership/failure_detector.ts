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
 * A member that refutes this observer's suspicions answers late, or is
 * reachable by others, as when a link loses one direction. The number of misses
 * needed for a suspicion doubles with each refutation, up to this bound, to
 * limit the number of floods.
 */
const MISSES_TO_SUSPECT_MAX_COUNT = 16;
/** Consecutive answers that halve the number of misses needed. */
const ACKS_TO_RECOVER_COUNT = 10;

/** Conclusion of an observer from a failed probe. */
export type ProbeConclusion = "none" | "suspect" | "gone";

type Target = {
  nextMs: number;
  isAwaited: boolean;
  acksCount: number;
  missesCount: number;
  refusalsCount: number;
  missesNeededCount: number;
  /** Version that this observer suspects; undefined after a refutation. */
  suspected: MemberVersion | undefined;
};

/** Failed probe, for {@link FailureDetector.recordFailure}. */
export type FailedProbe = {
  failure: PeerFailure | "replaced";
  /** Whether this daemon's event loop was late while the probe was pending. */
  isLoopLate: boolean;
  /** Current version of the member. */
  version: MemberVersion;
};

/**
 * Schedules probes of the observed members. Two consecutive misses cause a
 * suspicion; two consecutive refused connections, or answers of another
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
        isAwaited: false,
        acksCount: 0,
        missesCount: 0,
        refusalsCount: 0,
        missesNeededCount: MISSES_TO_SUSPECT_COUNT,
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
      if (target.isAwaited || target.nextMs > nowMs) {
        continue;
      }
      target.isAwaited = true;
      target.nextMs = Math.max(
        target.nextMs + PROBE_INTERVAL_MS,
        nowMs + PROBE_INTERVAL_MS / 2,
      );
      due.push(instanceId);
    }
    return due;
  }

  /** Records that a member answered. */
  acknowledge(instanceId: string): void {
    const target = this.#targets.get(instanceId);
    if (target === undefined) {
      return;
    }
    target.isAwaited = false;
    target.missesCount = 0;
    target.refusalsCount = 0;
    target.acksCount++;
    if (target.acksCount % ACKS_TO_RECOVER_COUNT === 0) {
      target.missesNeededCount = Math.max(
        target.missesNeededCount / 2,
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
    target.isAwaited = false;
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
      target.missesCount < target.missesNeededCount ||
      target.suspected !== undefined
    ) {
      return "none";
    }
    target.suspected = version;
    return "suspect";
  }

  #applyRefutation(target: Target, version: MemberVersion): void {
    const { suspected } = target;
    if (suspected === undefined) {
      return;
    }
    if (suspected.incarnationEpochMs !== version.incarnationEpochMs) {
      target.suspected = undefined;
      target.missesCount = 1;
      target.missesNeededCount = MISSES_TO_SUSPECT_COUNT;
    } else if (suspected.sequence < version.sequence) {
      target.suspected = undefined;
      target.missesCount = 1;
      target.missesNeededCount = Math.min(
        target.missesNeededCount * 2,
        MISSES_TO_SUSPECT_MAX_COUNT,
      );
    }
  }
}
