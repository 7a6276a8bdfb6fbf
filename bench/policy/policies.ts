/** Policies that the bench compares. */
import { SeededRandom } from "../../src/core/random.ts";
import type { AdmissionPolicy } from "../../src/decisions/admission/admission_policy.ts";
import { createLimiter } from "../../src/decisions/limits/create_limiter.ts";
import { FixedAdmission } from "../../src/decisions/admission/fixed_admission.ts";
import { UnlimitedAdmission } from "../../src/decisions/admission/unlimited_admission.ts";
import { PerHopRetries } from "../../src/decisions/retries/per_hop_retries.ts";
import { RandomSelector } from "../../src/decisions/selection/random_selector.ts";
import { RankAdmission } from "../../src/decisions/admission/rank_admission.ts";
import type { RetryPolicy } from "../../src/decisions/retries/retry_policy.ts";
import { SlidingRatioRetries } from "../../src/decisions/retries/sliding_ratio_retries.ts";
import { TwoChoiceSelector } from "../../src/decisions/selection/two_choice_selector.ts";
import type { UpstreamSelector } from "../../src/decisions/selection/upstream_selector.ts";

const QUEUE_MAX_COUNT = 200;
const QUEUE_AGE_MAX_MS = 500;

/** Identity of a daemon and its seed. */
export type DaemonIdentity = {
  callerId: string;
  dataCentre: string;
  seed: number;
};

/** Constructs the decision modules of one daemon. */
export interface BenchPolicy {
  readonly name: string;
  /**
   * Whether each hop may use the full number of attempts, instead of those that
   * the request has left.
   */
  readonly resetsAttempts: boolean;
  /** Constructs the admission policy of one upstream. */
  createAdmission(slotsCount: number): AdmissionPolicy;
  /** Constructs the upstream selector of one daemon. */
  createSelector(identity: DaemonIdentity): UpstreamSelector;
  /** Constructs the retry policy of one daemon. */
  createRetries(): RetryPolicy;
}

/** Baseline: no limit and three tries per hop. */
export class UnlimitedPolicy implements BenchPolicy {
  readonly name: string = "no-limit";
  readonly resetsAttempts = true;

  /** @inheritdoc */
  createAdmission(slotsCount: number): AdmissionPolicy {
    return new UnlimitedAdmission(slotsCount);
  }

  /** @inheritdoc */
  createSelector({ seed }: DaemonIdentity): UpstreamSelector {
    return new RandomSelector(new SeededRandom(seed));
  }

  /** @inheritdoc */
  createRetries(): RetryPolicy {
    return new PerHopRetries();
  }
}

/** Baseline: a fixed limit and one queue without classes. */
export class FixedPolicy extends UnlimitedPolicy {
  override readonly name = "fixed-limit";

  /** @inheritdoc */
  override createAdmission(slotsCount: number): AdmissionPolicy {
    return new FixedAdmission({
      slotsCount,
      queueMaxCount: QUEUE_MAX_COUNT,
      queueAgeMaxMs: QUEUE_AGE_MAX_MS,
    });
  }
}

/** Policy of the daemon: rank admission, two-choice selection, retry ratio. */
export class RankPolicy implements BenchPolicy {
  readonly name: string;
  readonly resetsAttempts = false;
  readonly #overloadPreference: number;

  /**
   * @param overloadPreference 0 prefers goodput, 1 prefers recovery.
   */
  constructor(overloadPreference: number) {
    this.name = `policy-${overloadPreference}`;
    this.#overloadPreference = overloadPreference;
  }

  /** @inheritdoc */
  createAdmission(slotsCount: number): AdmissionPolicy {
    return new RankAdmission({
      limiter: createLimiter("gradient", slotsCount),
      queueMaxCount: QUEUE_MAX_COUNT,
      queueAgeMaxMs: QUEUE_AGE_MAX_MS,
      overloadPreference: this.#overloadPreference,
    });
  }

  /** @inheritdoc */
  createSelector(identity: DaemonIdentity): UpstreamSelector {
    return new TwoChoiceSelector(new SeededRandom(identity.seed), identity);
  }

  /** @inheritdoc */
  createRetries(): RetryPolicy {
    return new SlidingRatioRetries({ retryRatio: 0.1 });
  }
}
