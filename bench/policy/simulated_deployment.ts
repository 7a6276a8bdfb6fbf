/** Simulated daemons and upstreams of one run. */
import type { RetryPolicy } from "../../src/decisions/retries/retry_policy.ts";
import type { Endpoint } from "../../src/decisions/selection/upstream_directory.ts";
import type {
  PoolView,
  UpstreamSelector,
} from "../../src/decisions/selection/upstream_selector.ts";
import { poolSchema } from "../../src/schemas/tables_schema.ts";
import type { EventQueue } from "./event_queue.ts";
import type { BenchPolicy } from "./policies.ts";
import type { Scenario } from "./scenario.ts";
import { UpstreamModel } from "./upstream_model.ts";

/** Decision modules of a daemon with its local upstream. */
export type Daemon = {
  readonly upstream: UpstreamModel;
  readonly selector: UpstreamSelector;
  readonly retries: RetryPolicy;
};

/** The daemons by instance and the endpoints by pool. */
export class SimulatedDeployment {
  readonly daemons: Daemon[] = [];
  readonly byId = new Map<string, Daemon>();
  readonly pools = new Map<string, PoolView>();
  readonly #scenario: Scenario;
  readonly #options: { policy: BenchPolicy; events: EventQueue; seed: number };

  /**
   * @param scenario Pools of the run.
   * @param options Decision modules, virtual time and seed.
   */
  constructor(
    scenario: Scenario,
    options: { policy: BenchPolicy; events: EventQueue; seed: number },
  ) {
    this.#scenario = scenario;
    this.#options = options;
    for (const pool of Object.keys(scenario.pools)) {
      this.#addPool(pool);
    }
  }

  #addPool(pool: string): void {
    const { dataCentres, pools } = this.#scenario;
    const callersCount = Object.values(pools)
      .reduce((sum, { endpointsCount }) => sum + endpointsCount, 0);
    const load = pools[pool] as Scenario["pools"][string];
    const { endpointsCount, slotsCount, connectionsMaxCount } = load;
    const endpoints = Array.from({ length: endpointsCount }, (_, index) => {
      const dataCentre = dataCentres[index % dataCentres.length] as string;
      const instanceId = `${pool}-${index}`;
      this.#addDaemon(instanceId, { dataCentre, slotsCount });
      return {
        instanceId,
        incarnationEpochMs: 1,
        dataCentre,
        pool,
        hopHost: "127.0.0.1",
        hopPort: 1,
        slotsCount,
        connectionsMaxCount,
        state: "alive",
        joinedMs: -60_000,
      } satisfies Endpoint;
    });
    const rules = poolSchema.parse({
      dataCentres,
      slotsCount,
      connectionsMaxCount,
      endpointsCount,
      callersMaxCount: callersCount,
    });
    this.pools.set(pool, { name: pool, rules, endpoints });
  }

  #addDaemon(
    instanceId: string,
    at: { dataCentre: string; slotsCount: number },
  ): void {
    const { policy, events, seed } = this.#options;
    const admission = policy.createAdmission(at.slotsCount);
    const daemon = {
      upstream: new UpstreamModel(instanceId, admission, {
        events,
        slotsCount: at.slotsCount,
      }),
      selector: policy.createSelector({
        callerId: instanceId,
        dataCentre: at.dataCentre,
        seed: seed * 100 + this.daemons.length,
      }),
      retries: policy.createRetries(),
    };
    this.daemons.push(daemon);
    this.byId.set(instanceId, daemon);
  }
}
