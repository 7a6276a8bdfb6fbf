/** Overload policies that a daemon can use, each as a set of components. */
import type { RandomSource } from "../core/random.ts";
import type { Settings } from "../schemas/settings_schema.ts";
import type { CentralRules } from "../schemas/tables_schema.ts";
import type {
  AdmissionPolicy,
  AdmissionRules,
} from "./admission/admission_policy.ts";
import { createLimiter } from "./limits/create_limiter.ts";
import { FixedAdmission } from "./admission/fixed_admission.ts";
import { UnlimitedAdmission } from "./admission/unlimited_admission.ts";
import { PerHopRetries } from "./retries/per_hop_retries.ts";
import { RandomSelector } from "./selection/random_selector.ts";
import { RankAdmission } from "./admission/rank_admission.ts";
import type { RetryPolicy } from "./retries/retry_policy.ts";
import { SlidingRatioRetries } from "./retries/sliding_ratio_retries.ts";
import { TwoChoiceSelector } from "./selection/two_choice_selector.ts";
import type { UpstreamSelector } from "./selection/upstream_selector.ts";

/** Components that make the decisions of one overload policy. */
export interface PolicySet {
  readonly selector: UpstreamSelector;
  readonly retries: RetryPolicy;
  /** Creates the admission policy of an upstream with its announced slots. */
  createAdmission(slotsCount: number, rules: AdmissionRules): AdmissionPolicy;
  /** Applies changed central rules. */
  configure(rules: CentralRules): void;
}

/** Options of {@link createPolicySet}. */
export type PolicySetOptions = {
  random: RandomSource;
  /** Identity of the daemon. */
  instance: Settings["instance"];
};

/** Retries per original request until the central rules are applied. */
const RETRY_RATIO = 0.1;

/** Default policy: ranks, adaptive limits, retry budget, two random choices. */
class AdaptivePolicySet implements PolicySet {
  readonly selector: UpstreamSelector;
  readonly retries = new SlidingRatioRetries({ retryRatio: RETRY_RATIO });

  constructor({ random, instance }: PolicySetOptions) {
    this.selector = new TwoChoiceSelector(random, {
      callerId: instance.id,
      dataCentre: instance.dataCentre,
    });
  }

  createAdmission(slotsCount: number, rules: AdmissionRules): AdmissionPolicy {
    return new RankAdmission({
      ...rules,
      limiter: createLimiter(rules.limit, slotsCount),
    });
  }

  configure({ retryRatio }: CentralRules): void {
    this.retries.setRetryRatio(retryRatio);
  }
}

/** Baseline: a fixed limit without classes, random choice, per-hop retries. */
class FixedPolicySet implements PolicySet {
  readonly selector: UpstreamSelector;
  readonly retries: RetryPolicy = new PerHopRetries();

  constructor({ random }: PolicySetOptions) {
    this.selector = new RandomSelector(random);
  }

  createAdmission(slotsCount: number, rules: AdmissionRules): AdmissionPolicy {
    return new FixedAdmission({ slotsCount, ...rules });
  }

  configure(_rules: CentralRules): void {
    // The baseline has no central rules.
  }
}

/** Baseline: no limit, random choice, per-hop retries. */
class UnlimitedPolicySet extends FixedPolicySet {
  override createAdmission(slotsCount: number): AdmissionPolicy {
    return new UnlimitedAdmission(slotsCount);
  }
}

const POLICY_SETS = {
  adaptive: AdaptivePolicySet,
  fixed: FixedPolicySet,
  unlimited: UnlimitedPolicySet,
} as const;

/**
 * Creates the components of a policy.
 *
 * @param policy Value of the setting `policy`.
 * @param options Random numbers and identity.
 * @returns Components of the policy.
 *
 * @example
 * createPolicySet("adaptive", { random, instance: settings.instance });
 */
export function createPolicySet(
  policy: Settings["policy"],
  options: PolicySetOptions,
): PolicySet {
  return new POLICY_SETS[policy](options);
}
