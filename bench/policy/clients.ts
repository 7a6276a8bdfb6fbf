/** Clients that offer the load of a scenario and retry aggressively. */
import { SeededRandom } from "../../src/core/random.ts";
import {
  ADMISSION_KEYS_COUNT,
  admissionRank,
} from "../../src/decisions/admission/importance.ts";
import { type Answer, type CallGraph, refusal } from "./call_graph.ts";
import { CoarseTimeouts } from "./event_queue.ts";
import { ClientTry } from "./metrics.ts";
import type { CallPlan, RouteLoad } from "./scenario.ts";

const DEADLINE_STEP_MS = 10;

type ClientRequest = {
  readonly route: string;
  readonly load: RouteLoad;
  readonly tenant: string;
  readonly arrivedMs: number;
  /** Admission key of each try. */
  readonly keys: readonly number[];
};

/** Offers requests in an open loop, the same ones for every policy. */
export class Clients {
  readonly #graph: CallGraph;
  readonly #arrivals: SeededRandom;
  readonly #random: SeededRandom;
  readonly #deadlines: CoarseTimeouts;

  /**
   * @param graph Call graph that serves the requests.
   * @param options Seed of the arrivals.
   */
  constructor(graph: CallGraph, options: { seed: number }) {
    this.#graph = graph;
    this.#arrivals = new SeededRandom(options.seed);
    this.#random = new SeededRandom(options.seed + 2);
    this.#deadlines = new CoarseTimeouts(graph.events, DEADLINE_STEP_MS);
  }

  /** Starts the arrivals of all routes. */
  start(): void {
    for (const [route, load] of Object.entries(this.#graph.scenario.routes)) {
      this.#scheduleArrival(route, load);
    }
  }

  #scheduleArrival(route: string, load: RouteLoad): void {
    const { events, scenario } = this.#graph;
    const ratePerS = this.#graph.isPressure()
      ? load.surgeRatePerS
      : load.ratePerS;
    const gapMs = -Math.log(1 - this.#arrivals.nextFloat()) * 1_000 / ratePerS;
    events.after(gapMs, () => {
      if (events.nowMs < scenario.endMs) {
        this.#arrive(route, load);
        this.#scheduleArrival(route, load);
      }
    });
  }

  #arrive(route: string, load: RouteLoad): void {
    const { scenario, events } = this.#graph;
    const tenantIndex = this.#arrivals.nextInt(scenario.tenants.length);
    const keys = Array.from(
      { length: scenario.clientTriesCount },
      () => this.#arrivals.nextInt(ADMISSION_KEYS_COUNT),
    );
    this.#countOriginals(load.call);
    this.#try({
      route,
      load,
      tenant: scenario.tenants[tenantIndex] as string,
      arrivedMs: events.nowMs,
      keys,
    }, 0);
  }

  #countOriginals(plan: CallPlan): void {
    const { metrics, events } = this.#graph;
    metrics.countOriginal(plan.pool, events.nowMs);
    plan.calls.forEach((call) => this.#countOriginals(call));
  }

  /**
   * Starts one try. Idempotent requests have no idempotency key, so that each
   * try gets another rank.
   */
  #try(request: ClientRequest, index: number): void {
    const { load, route } = request;
    const { metrics, events, scenario } = this.#graph;
    const deadlineMs = request.arrivedMs + load.deadlineMs;
    const client = new ClientTry(metrics, deadlineMs);
    const key = request.keys[load.idempotent ? index : 0] as number;
    const finish = (answer: Answer) => {
      if (client.ended) {
        return;
      }
      if (!answer.ok) {
        metrics.countError(`${route} ${answer.error}`);
      }
      client.end(answer.ok, events.nowMs);
      client.onAbort.forEach((abort) => abort());
      this.#retry(request, answer, index + 1);
    };
    this.#deadlines.at(
      deadlineMs,
      () => finish({ ...refusal("deadline_exceeded"), outcome: "unknown" }),
    );
    const context = {
      route,
      load,
      client,
      rank: admissionRank(load.class, key),
      tenant: request.tenant,
      depthCount: 1,
      attemptsLeftCount: this.#graph.attemptsCount,
      isRetry: false,
      holdingPools: [],
    };
    events.after(
      scenario.clientLatencyMs,
      () =>
        this.#graph.sendFromClient(
          this.#random,
          context,
          (answer) =>
            events.after(scenario.clientLatencyMs, () => finish(answer)),
        ),
    );
  }

  #retry(request: ClientRequest, answer: Answer, index: number): void {
    const { load, route, arrivedMs } = request;
    const { metrics, events, scenario } = this.#graph;
    const delayMs = scenario.clientRetryDelayMs *
      (1 + this.#random.nextFloat());
    const mayRetry = load.idempotent || answer.outcome === "not-run";
    const inTime = events.nowMs + delayMs < arrivedMs + load.deadlineMs;
    if (
      !answer.ok && mayRetry && inTime && index < scenario.clientTriesCount
    ) {
      events.after(delayMs, () => this.#try(request, index));
      return;
    }
    metrics.countRequest(
      { route, class: load.class, arrivedMs },
      { succeeded: answer.ok, nowMs: events.nowMs },
    );
  }
}
