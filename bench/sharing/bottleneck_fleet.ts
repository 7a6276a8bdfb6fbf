/** Fleet whose callers share a bottleneck pool, on a virtual clock. */
import { SeededRandom } from "../../src/core/random.ts";
import { SimulatedDaemon } from "../recovery/simulated_daemon.ts";
import { SimulatedUpstream } from "../recovery/simulated_upstream.ts";
import { toFleetConfig } from "../recovery/scenario.ts";
import { VirtualTime } from "../recovery/virtual_time.ts";
import type { EventQueue } from "../policy/event_queue.ts";
import type { BottleneckScenario, ValuedRoute } from "./bottleneck_scenario.ts";
import { type CallerOutcome, CallerResults } from "./caller_results.ts";

const MS_PER_S = 1_000;
/** A caller honours `retry-after` up to this share of its remaining time. */
const RETRY_AFTER_MAX_RATIO = 1 / 3;
const NEIGHBOUR_RATIO = 2.5;
const NEIGHBOUR_PHASE_MS = 600;
const NEIGHBOUR_PERIOD_MS = 4_000;
/** Length of the steps in which arrivals are drawn. */
const ARRIVALS_STEP_MS = 10;
/** Load is below capacity before, so that the call graph is known. */
const WARM_UP_MS = 2_000;
const WARM_UP_RATIO = 0.2;

/** Options of {@link playBottleneck}. */
export type BottleneckOptions = {
  readonly scenario: BottleneckScenario;
  readonly seed: number;
  /** Offered load relative to that of the scenario. */
  readonly loadRatio: number;
  readonly measuredFromMs: number;
  readonly endMs: number;
  /** Whether the daemons are of a version whose levels follow the busy ratio. */
  readonly isUncoordinated?: boolean;
  /** Time at which the fastest upstream of the pool is lost with its daemon. */
  readonly lossAtMs?: number | undefined;
  /** Called once per 100 ms, for traces. */
  readonly onStep?: (fleet: BottleneckFleet) => void;
};

type Instance = {
  readonly dataCentre: number;
  readonly pool: string;
  readonly daemon: SimulatedDaemon;
};

type Attempt = {
  readonly route: ValuedRoute;
  readonly instance: Instance;
  readonly arrivedAtMs: number;
  readonly key: string | undefined;
  readonly isRetry: boolean;
};

/** Daemons with their upstreams, and callers that retry once. */
export class BottleneckFleet {
  readonly results: CallerResults;
  readonly instances: readonly Instance[];
  readonly #events: EventQueue;
  readonly #options: BottleneckOptions;
  readonly #random: SeededRandom;
  readonly #arrivals: SeededRandom;
  #nextRequestNumber = 0;

  /**
   * @param events Virtual time; must be installed as the global clock.
   * @param options Load and duration.
   */
  constructor(events: EventQueue, options: BottleneckOptions) {
    this.#events = events;
    this.#options = options;
    this.results = new CallerResults(options.measuredFromMs);
    this.#random = new SeededRandom(options.seed);
    this.#arrivals = new SeededRandom(options.seed + 1);
    this.instances = this.#createInstances();
    for (const { daemon } of this.instances) {
      for (const { daemon: peer } of this.instances) {
        if (daemon !== peer) {
          daemon.connect(peer);
        }
      }
    }
  }

  /** Present virtual time, in ms. */
  get nowMs(): number {
    return this.#events.nowMs;
  }

  /** Schedules arrivals and traces. */
  start(): void {
    const { onStep, lossAtMs } = this.#options;
    if (lossAtMs !== undefined) {
      this.#events.after(lossAtMs, () => this.#loseFastest());
    }
    const step = () => {
      this.#drawArrivals();
      if (onStep !== undefined && Math.round(this.nowMs) % 100 === 0) {
        onStep(this);
      }
      this.#events.after(ARRIVALS_STEP_MS, step);
    };
    step();
  }

  #loseFastest(): void {
    const { pools, bottleneck } = this.#options.scenario;
    const speeds = pools.find(({ name }) => name === bottleneck)?.speeds ?? [];
    const index = speeds.indexOf(Math.max(...speeds));
    this.instances.filter(({ pool }) => pool === bottleneck)[index]
      ?.daemon.kill();
  }

  #createInstances(): Instance[] {
    const { scenario } = this.#options;
    const routes = new Map(scenario.routes.map((route) => [route.name, route]));
    const tenants = scenario.tenantShares.map((_, index) => ({
      name: `tenant-${index}`,
      keys: [`key-${index}`],
      ratePerS: 0,
      burstCount: 0,
    }));
    const routesConfig = toFleetConfig({
      pools: scenario.pools.map((pool) => ({
        name: pool.name,
        slotsCounts: [...pool.slotsCounts],
        speeds: [...pool.speeds],
      })),
      routes: [...scenario.routes],
    });
    const config = tenants.length === 0
      ? routesConfig
      : { ...routesConfig, tenants };
    const instances: Instance[] = [];
    const daemonsCount = scenario.pools.reduce(
      (sum, { slotsCounts }) => sum + slotsCounts.length,
      0,
    );
    for (const { name: pool, slotsCounts, speeds } of scenario.pools) {
      const isBottleneck = pool === scenario.bottleneck;
      for (const [index, slotsCount] of slotsCounts.entries()) {
        const dataCentre = index % scenario.dataCentresCount;
        const upstream: SimulatedUpstream = new SimulatedUpstream({
          events: this.#events,
          random: this.#random,
          slotsCount,
          speed: speeds[index] ?? 1,
          routes,
          dilation: isBottleneck
            ? (busyRatio) => this.#kneeDilation(busyRatio)
            : () => 1,
          ...(isBottleneck && scenario.hasNeighbours
            ? { neighbourRatio: () => this.#neighbourRatio(index) }
            : {}),
          call: (call, onDone) =>
            daemon.handle(call, ({ status }) => onDone(status < 300)),
        });
        const daemon: SimulatedDaemon = new SimulatedDaemon({
          events: this.#events,
          random: this.#random,
          name: `${pool}-${index + 1}`,
          pool,
          dataCentre: String(dataCentre),
          slotsCount,
          upstream,
          config,
          daemonsCount,
          isEarlierVersion: this.#options.isUncoordinated ?? false,
        });
        instances.push({ dataCentre, pool, daemon });
      }
    }
    return instances;
  }

  #kneeDilation(busyRatio: number): number {
    const { ratio, slope } = this.#options.scenario.knee;
    return 1 + slope * Math.max(0, busyRatio - ratio) / ratio;
  }

  #neighbourRatio(index: number): number {
    const phaseMs = (this.nowMs + index * MS_PER_S) % NEIGHBOUR_PERIOD_MS;
    return phaseMs < NEIGHBOUR_PHASE_MS ? NEIGHBOUR_RATIO : 1;
  }

  #drawArrivals(): void {
    const { scenario, loadRatio, endMs } = this.#options;
    if (this.nowMs >= endMs) {
      return;
    }
    const ratio = this.nowMs < WARM_UP_MS ? WARM_UP_RATIO : loadRatio;
    for (const route of scenario.routes) {
      for (let centre = 0; centre < scenario.dataCentresCount; centre++) {
        let expected = route.ratePerS * ratio *
          scenario.loadFactor(route.name, centre, this.nowMs) *
          ARRIVALS_STEP_MS / MS_PER_S / scenario.dataCentresCount;
        // Several draws approximate a Poisson distribution.
        for (; expected > 0; expected -= 0.5) {
          const probability = Math.min(0.5, expected);
          if (this.#arrivals.nextFloat() < probability) {
            this.#arrive(route, centre);
          }
        }
      }
    }
  }

  #arrive(route: ValuedRoute, centre: number): void {
    const local = this.instances.filter(({ dataCentre, daemon }) =>
      dataCentre === centre && !daemon.isStopped
    );
    const instance = local[this.#arrivals.nextInt(local.length)] as Instance;
    const delayMs = ARRIVALS_STEP_MS * this.#arrivals.nextFloat();
    this.#events.after(delayMs, () => {
      const arrivedAtMs = this.nowMs;
      this.results.record(route.name, "offered", arrivedAtMs);
      const key = this.#drawKey();
      this.#try({ route, instance, arrivedAtMs, key, isRetry: false });
    });
  }

  #drawKey(): string | undefined {
    const { tenantShares } = this.#options.scenario;
    if (tenantShares.length === 0) {
      return undefined;
    }
    let left = this.#arrivals.nextFloat();
    const index = tenantShares.findIndex((share) => (left -= share) < 0);
    return `key-${Math.max(0, index)}`;
  }

  #try(attempt: Attempt): void {
    const { route, instance, arrivedAtMs, key } = attempt;
    const remainingMs = arrivedAtMs + route.callerTimeoutMs - this.nowMs;
    let isDone = false;
    const cancel = instance.daemon.handle({
      routeName: route.name,
      requestId: `q${this.#nextRequestNumber++}`,
      callerTimeoutMs: remainingMs,
      key,
    }, ({ status, retryAfterMs }) => {
      isDone = true;
      const tookMs = this.nowMs - arrivedAtMs;
      if (status < 300) {
        const isOnTime = tookMs <= route.latencyGoalMs;
        this.#record(attempt, isOnTime ? "onTime" : "late");
      } else if (status === 503 || status === 429) {
        this.#onRefused(attempt, retryAfterMs);
      } else {
        this.#record(attempt, "failed");
      }
    });
    this.#events.after(remainingMs, () => {
      if (!isDone) {
        cancel();
        this.#record(attempt, "failed");
      }
    });
  }

  #onRefused(attempt: Attempt, retryAfterMs: number | undefined): void {
    const { route, arrivedAtMs, isRetry } = attempt;
    if (isRetry) {
      this.#record(attempt, "refusedAgain");
      return;
    }
    this.results.record(route.name, "refusedAtFirst", arrivedAtMs);
    const remainingMs = arrivedAtMs + route.callerTimeoutMs - this.nowMs;
    const isImpatient =
      this.#arrivals.nextFloat() < this.#options.scenario.impatientRatio;
    const waitMs = isImpatient
      ? 0
      : Math.min(retryAfterMs ?? 0, remainingMs * RETRY_AFTER_MAX_RATIO);
    this.#events.after(waitMs, () => this.#try({ ...attempt, isRetry: true }));
  }

  #record(
    { route, arrivedAtMs }: Attempt,
    outcome: CallerOutcome,
  ): void {
    this.results.record(route.name, outcome, arrivedAtMs);
  }
}

/**
 * Plays a load on a bottleneck pool.
 *
 * @param options Load and duration.
 * @returns What the callers got.
 */
export function playBottleneck(options: BottleneckOptions): CallerResults {
  const time = new VirtualTime();
  return time.run(() => {
    const fleet = new BottleneckFleet(time.events, options);
    fleet.start();
    // All callers have an outcome when their time budgets have passed.
    const budgetMs = Math.max(
      ...options.scenario.routes.map((route) => route.callerTimeoutMs),
    );
    time.events.runUntil(options.endMs + budgetMs);
    return fleet.results;
  });
}
