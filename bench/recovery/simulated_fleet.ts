/** Fleet of simulated daemons with their upstreams and callers. */
import { SeededRandom } from "../../src/core/random.ts";
import type { FleetConfig } from "../../src/schemas/fleet_schema.ts";
import type { EventQueue } from "../policy/event_queue.ts";
import { ServedCounts } from "./served_counts.ts";
import {
  type Scenario,
  type ScenarioRoute,
  toFleetConfig,
} from "./scenario.ts";
import { SimulatedDaemon } from "./simulated_daemon.ts";
import { SimulatedUpstream } from "./simulated_upstream.ts";

const DATA_CENTRE = "a";
const MS_PER_S = 1_000;
/** Wait of a caller that finds no process. */
const RECONNECT_MS = 100;
const RETRIES_COUNT = 1;
/** A caller honours `retry-after` up to this share of its remaining time. */
const RETRY_AFTER_MAX_RATIO = 1 / 3;

type Instance = {
  readonly name: string;
  readonly pool: string;
  readonly slotsCount: number;
  readonly upstream: SimulatedUpstream;
  daemon: SimulatedDaemon | undefined;
};

type CallerAttempt = {
  readonly route: ScenarioRoute;
  readonly instance: Instance;
  readonly arrivedAtMs: number;
  readonly isImpatient: boolean;
  retriesLeftCount: number;
};

/** Runs a scenario with the decision code of the daemons. */
export class SimulatedFleet {
  readonly counts = new ServedCounts();
  readonly #events: EventQueue;
  readonly #scenario: Scenario;
  readonly #config: FleetConfig;
  readonly #random: SeededRandom;
  readonly #arrivals: SeededRandom;
  readonly #routes: ReadonlyMap<string, ScenarioRoute>;
  readonly #instances: Instance[];
  #nextRequestNumber = 0;

  /**
   * @param events Virtual time; must be installed as the global clock.
   * @param options Scenario and seed.
   */
  constructor(
    events: EventQueue,
    { scenario, seed }: { scenario: Scenario; seed: number },
  ) {
    this.#events = events;
    this.#scenario = scenario;
    this.#config = toFleetConfig(scenario);
    this.#random = new SeededRandom(seed);
    this.#arrivals = new SeededRandom(seed + 1);
    this.#routes = new Map(scenario.routes.map((route) => [route.name, route]));
    this.#instances = this.#createInstances();
    this.#startDaemons();
  }

  /** Schedules the arrivals and the restart. */
  start(): void {
    for (const route of this.#scenario.routes) {
      if (route.ratePerS > 0) {
        this.#scheduleArrival(route);
      }
    }
    const { atMs, downMs, isWithUpstreams } = this.#scenario.restart;
    this.#events.after(atMs, () => this.#killAll(isWithUpstreams));
    this.#events.after(atMs + downMs, () => this.#startDaemons());
  }

  /**
   * Lists the admission levels of a pool at all running daemons.
   *
   * @param pool Name of the pool.
   * @returns Numbers of admitted classes.
   */
  admissionLevels(pool: string): number[] {
    return this.#instances.flatMap(({ daemon }) =>
      daemon?.admissionLevel(pool) ?? []
    );
  }

  #createInstances(): Instance[] {
    return this.#scenario.pools.flatMap(({ name: pool, slotsCounts, speeds }) =>
      slotsCounts.map((slotsCount, index) => {
        const name = `${pool}-${index + 1}`;
        const upstream = new SimulatedUpstream({
          events: this.#events,
          random: this.#random,
          slotsCount,
          speed: speeds[index] ?? 1,
          routes: this.#routes,
          call: (call, onDone) => {
            const { daemon } = instance;
            if (daemon === undefined) {
              this.#events.after(0, () => onDone(false));
              return () => {};
            }
            return daemon.handle(call, ({ status }) => onDone(status < 300));
          },
        });
        const instance: Instance = {
          name,
          pool,
          slotsCount,
          upstream,
          daemon: undefined,
        };
        return instance;
      })
    );
  }

  #startDaemons(): void {
    for (const instance of this.#instances) {
      const { name, pool, slotsCount, upstream } = instance;
      instance.daemon = new SimulatedDaemon({
        events: this.#events,
        random: this.#random,
        name,
        pool,
        dataCentre: DATA_CENTRE,
        slotsCount,
        upstream,
        config: this.#config,
        daemonsCount: this.#instances.length,
      });
    }
    for (const { daemon } of this.#instances) {
      for (const { daemon: peer } of this.#instances) {
        if (daemon !== peer && peer !== undefined) {
          daemon?.connect(peer);
        }
      }
    }
  }

  #killAll(isWithUpstreams: boolean): void {
    for (const instance of this.#instances) {
      instance.daemon?.kill();
      instance.daemon = undefined;
      instance.upstream.restart(isWithUpstreams);
    }
  }

  #isBurst(): boolean {
    const { fromMs, untilMs } = this.#scenario.burst;
    return this.#events.nowMs >= fromMs && this.#events.nowMs < untilMs;
  }

  #scheduleArrival(route: ScenarioRoute): void {
    const { burst, endMs } = this.#scenario;
    const ratePerS = route.ratePerS * (this.#isBurst() ? burst.factor : 1);
    const gapMs = -Math.log(1 - this.#arrivals.nextFloat()) * MS_PER_S /
      ratePerS;
    this.#events.after(gapMs, () => {
      if (this.#events.nowMs >= endMs) {
        return;
      }
      this.#arrive(route);
      this.#scheduleArrival(route);
    });
  }

  #arrive(route: ScenarioRoute): void {
    const { burst } = this.#scenario;
    const index = this.#arrivals.nextInt(this.#instances.length);
    const isImpatient = this.#isBurst() &&
      this.#arrivals.nextFloat() < burst.impatientRatio;
    const attempt: CallerAttempt = {
      route,
      instance: this.#instances[index] as Instance,
      arrivedAtMs: this.#events.nowMs,
      isImpatient,
      retriesLeftCount: isImpatient
        ? RETRIES_COUNT + burst.impatientRetriesCount
        : RETRIES_COUNT,
    };
    this.counts.recordOffered(route.name, attempt.arrivedAtMs);
    this.#try(attempt);
  }

  #try(attempt: CallerAttempt): void {
    const { route, instance, arrivedAtMs } = attempt;
    const remainingMs = arrivedAtMs + route.callerTimeoutMs -
      this.#events.nowMs;
    if (remainingMs <= 0) {
      return;
    }
    const { daemon } = instance;
    if (daemon === undefined) {
      this.#events.after(RECONNECT_MS, () => this.#try(attempt));
      return;
    }
    const cancel = daemon.handle({
      routeName: route.name,
      requestId: `q${this.#nextRequestNumber++}`,
      callerTimeoutMs: remainingMs,
    }, ({ status, retryAfterMs }) => {
      if (daemon.isStopped) {
        return;
      }
      if (status < 300) {
        this.counts.recordServed(route.name, arrivedAtMs);
      } else {
        this.#retry(attempt, { status, retryAfterMs });
      }
    });
    this.#events.after(remainingMs, cancel);
  }

  #retry(
    attempt: CallerAttempt,
    result: { status: number; retryAfterMs: number | undefined },
  ): void {
    const { route, arrivedAtMs, isImpatient } = attempt;
    const isPromise = result.status === 503 || result.status === 429;
    if (
      attempt.retriesLeftCount <= 0 || !(route.idempotent || isPromise)
    ) {
      return;
    }
    attempt.retriesLeftCount--;
    const remainingMs = arrivedAtMs + route.callerTimeoutMs -
      this.#events.nowMs;
    const waitMs = isImpatient ? 0 : Math.min(
      result.retryAfterMs ?? 0,
      remainingMs * RETRY_AFTER_MAX_RATIO,
    );
    this.#events.after(waitMs, () => this.#try(attempt));
  }
}
