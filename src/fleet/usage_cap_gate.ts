/** Extension point for the usage caps of tenants. */
import type { EndUsage, QueryStart } from "../decisions/caps/cap_asker.ts";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";

/** Decides which requests of a tenant its usage cap admits. */
export interface UsageCapGate {
  /**
   * Decides on one request. A request may wait for the decision.
   *
   * @param tenantName Tenant of the request.
   * @param onDecision Called once, possibly before this method returns, in
   *   particular for a tenant without a cap; not called after a cancellation.
   * @param queryStart Asks for the start of an admitted request that has not ended
   *   long after its charge.
   * @returns Function to call once the request ends. It cancels a request that waits;
   *   after it, no upstream may start the request.
   */
  admit(
    tenantName: string,
    onDecision: (decision: CapDecision) => void,
    queryStart?: QueryStart,
  ): EndUsage;
}

/** Admits all requests at once. */
export class UnlimitedUsage implements UsageCapGate {
  /** @inheritdoc */
  admit(
    _tenantName: string,
    onDecision: (decision: CapDecision) => void,
  ): EndUsage {
    onDecision({ isAdmitted: true });
    return () => {};
  }
}
