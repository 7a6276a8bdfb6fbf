/** Bounded log of refusals by usage caps and of the owners in use. */
import type { Logger } from "../telemetry/logger.ts";

/** Interval at which refusals and changes of owners are logged. */
const INTERVAL_MS = 10_000;
/** Maximum lines per interval about refusals; further tenants share one. */
const TENANTS_MAX_COUNT = 5;

/** Writes at most a few lines per interval. */
export class UsageCapLog {
  readonly #log: Logger;
  readonly #refusedCounts = new Map<string, number>();
  #loggedAtMs = -Infinity;
  #loggedOwners = "";

  /**
   * @param log Logger that receives the lines.
   */
  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Counts a refused request.
   *
   * @param tenantName Tenant of the request.
   * @param nowMs Monotonic time, in ms.
   */
  recordRefusal(tenantName: string, nowMs: number): void {
    const count = this.#refusedCounts.get(tenantName) ?? 0;
    this.#refusedCounts.set(tenantName, count + 1);
    this.#writeOnceDue(nowMs);
  }

  /**
   * Writes what has changed, once per interval.
   *
   * @param nowMs Monotonic time, in ms.
   * @param owners Names of the owners in use.
   */
  tick(nowMs: number, owners: ReadonlySet<string>): void {
    if (nowMs - this.#loggedAtMs < INTERVAL_MS) {
      return;
    }
    const names = [...owners].sort().join(" ");
    if (names !== this.#loggedOwners) {
      this.#log.info("Owners of usage caps changed", {
        owners: names,
        lastOwners: this.#loggedOwners,
      });
      this.#loggedOwners = names;
      this.#loggedAtMs = nowMs;
    }
    this.#writeOnceDue(nowMs);
  }

  #writeOnceDue(nowMs: number): void {
    if (
      this.#refusedCounts.size === 0 || nowMs - this.#loggedAtMs < INTERVAL_MS
    ) {
      return;
    }
    this.#loggedAtMs = nowMs;
    const counts = [...this.#refusedCounts].sort((a, b) => b[1] - a[1]);
    for (const [tenant, count] of counts.slice(0, TENANTS_MAX_COUNT)) {
      this.#log.info("Requests over the usage cap", { tenant, count });
    }
    const others = counts.slice(TENANTS_MAX_COUNT);
    if (others.length > 0) {
      this.#log.info("Requests over the usage caps of further tenants", {
        tenantsCount: others.length,
        count: others.reduce((sum, [, count]) => sum + count, 0),
      });
    }
    this.#refusedCounts.clear();
  }
}
