/** Extension point for the usage caps of tenants. */

/** Decision on one request of a tenant. */
export type UsageDecision =
  | { isAdmitted: true }
  | {
    isAdmitted: false;
    /** Time after which the tenant has capacity again, in ms. */
    retryAfterMs: number;
  };

/** Decides which requests of a tenant its usage cap admits. */
export interface UsageCapGate {
  /**
   * Decides on one request. A request may wait for the decision.
   *
   * @param tenantName Tenant of the request.
   * @param onDecision Called once, possibly before this method returns, in
   *   particular for a tenant without a cap; not called after a cancellation.
   * @returns Function that cancels the request while it waits; without effect
   *   after the decision.
   */
  admit(
    tenantName: string,
    onDecision: (decision: UsageDecision) => void,
  ): () => void;
}

/** Admits all requests at once. */
export class UnlimitedUsage implements UsageCapGate {
  /** @inheritdoc */
  admit(
    _tenantName: string,
    onDecision: (decision: UsageDecision) => void,
  ): () => void {
    onDecision({ isAdmitted: true });
    return () => {};
  }
}
