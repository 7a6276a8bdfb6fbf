/** Connects the announced upstream to the data path. */
import type {
  AdmissionPolicy,
  AdmissionRules,
  LoadState,
} from "../decisions/admission/admission_policy.ts";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { PolicySet } from "../decisions/policy_set.ts";
import type { InboundService } from "../proxy/inbound_service.ts";
import { HttpUpstreamClient } from "../proxy/upstream_client.ts";
import type { Announcement } from "../schemas/settings_schema.ts";
import type { CentralRules, Pool } from "../schemas/tables_schema.ts";

/** Parts of {@link UpstreamConnector}. */
export type UpstreamConnectorParts = {
  config: ConfigSource;
  policies: PolicySet;
  inbound: InboundService;
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

// Used until a configuration lists the pool.
const DEFAULT_ADMISSION_RULES: AdmissionRules = {
  limit: "gradient",
  queueMaxCount: 200,
  queueAgeMaxMs: 500,
  overloadPreference: 0.5,
};

function admissionRules(
  pool: Pool | undefined,
  central: CentralRules | undefined,
): AdmissionRules {
  if (pool === undefined || central === undefined) {
    return DEFAULT_ADMISSION_RULES;
  }
  const { limit, queueMaxCount, queueAgeMaxMs } = pool;
  const { overloadPreference } = central;
  return { limit, queueMaxCount, queueAgeMaxMs, overloadPreference };
}

/**
 * Connects the local upstream to the inbound service and applies the admission
 * rules in force.
 */
export class UpstreamConnector {
  readonly #parts: UpstreamConnectorParts;
  #announcement: Announcement | undefined;
  #admission: AdmissionPolicy | undefined;
  #client: HttpUpstreamClient | undefined;

  /**
   * @param parts Configuration, policies and the inbound service.
   */
  constructor(parts: UpstreamConnectorParts) {
    this.#parts = parts;
  }

  /**
   * Starts to forward requests to an upstream. The previous upstream completes
   * its running requests.
   *
   * @param announcement Validated announcement.
   */
  connect(announcement: Announcement): void {
    const { inbound, nowMs, policies } = this.#parts;
    const { pool, slotsCount } = announcement;
    void this.#client?.close();
    this.#announcement = announcement;
    this.#client = new HttpUpstreamClient(announcement, {
      nowMs,
      refusalsNotRun: (name) => this.#pool(name)?.refusalsNotRun === true,
    });
    this.#admission = policies.createAdmission(slotsCount, this.#rules(pool));
    inbound.attach({ pool, client: this.#client, admission: this.#admission });
  }

  /**
   * Changes the number of slots.
   *
   * @param slotsCount Maximum number of requests that the upstream runs concurrently.
   */
  resize(slotsCount: number): void {
    this.#admission?.resize(slotsCount);
  }

  /** Applies the configuration in force. */
  configure(): void {
    const central = this.#parts.config.current()?.tables.routes.rules;
    if (central !== undefined) {
      this.#parts.policies.configure(central);
    }
    if (this.#announcement !== undefined) {
      this.#admission?.configure(this.#rules(this.#announcement.pool));
    }
  }

  /**
   * Load of the last announced upstream, also after its withdrawal; undefined
   * before the first announcement.
   */
  load(): LoadState | undefined {
    return this.#admission?.load();
  }

  #pool(name: string): Pool | undefined {
    return this.#parts.config.current()?.tables.pools.pools[name];
  }

  #rules(pool: string): AdmissionRules {
    const central = this.#parts.config.current()?.tables.routes.rules;
    return admissionRules(this.#pool(pool), central);
  }
}
