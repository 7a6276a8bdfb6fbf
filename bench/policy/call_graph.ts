/** Calls between the upstreams of a scenario. */
import { SeededRandom } from "../../src/core/random.ts";
import type { PoolView } from "../../src/decisions/upstream_selector.ts";
import { EventQueue } from "./event_queue.ts";
import { type ClientTry, Metrics } from "./metrics.ts";
import type { BenchPolicy } from "./policies.ts";
import type { CallPlan, RouteLoad, Scenario } from "./scenario.ts";
import type { Visit } from "./upstream_model.ts";
import { type Daemon, World } from "./world.ts";

const ATTEMPTS_COUNT = 3;
const HOP_LATENCY_MS = 0.5;
const WORK_SPREAD = 0.4;

/** What travels with a request along the chain. */
export type Context = {
  readonly route: string;
  readonly load: RouteLoad;
  readonly client: ClientTry;
  readonly rank: number;
  readonly tenant: string;
  readonly depthCount: number;
  readonly attemptsLeftCount: number;
  readonly repeated: boolean;
  /** Pools nearer the caller whose slots the request holds. */
  readonly holders: readonly string[];
};

/** Answer of a call. */
export type Answer = {
  readonly ok: boolean;
  readonly error: string;
  readonly outcome: "not-run" | "unknown";
  readonly overloaded: boolean;
  readonly exhausted: boolean;
};

type Done = (answer: Answer) => void;

type OpenCall = {
  readonly daemon: Daemon;
  readonly plan: CallPlan;
  readonly context: Context;
  readonly done: Done;
  readonly excludedIds: readonly string[];
};

const OK: Answer = {
  ok: true,
  error: "",
  outcome: "unknown",
  overloaded: false,
  exhausted: false,
};

/**
 * Builds the answer of a refused call.
 *
 * @param error Pool and error kind.
 * @returns Answer that proves `not-run`.
 */
export function refusal(error: string): Answer {
  return { ...OK, ok: false, error, outcome: "not-run", overloaded: true };
}

/** Sends calls through the decisions of the daemons, under virtual time. */
export class CallGraph {
  readonly scenario: Scenario;
  readonly policy: BenchPolicy;
  readonly metrics: Metrics;
  readonly events = new EventQueue();
  readonly world: World;
  readonly attemptsCount = ATTEMPTS_COUNT;
  readonly #work: SeededRandom;

  /**
   * @param scenario Pools and offered load.
   * @param policy Decisions of the daemons.
   * @param options Seed of service times and choices.
   */
  constructor(
    scenario: Scenario,
    policy: BenchPolicy,
    options: { seed: number },
  ) {
    this.scenario = scenario;
    this.policy = policy;
    this.#work = new SeededRandom(options.seed + 1);
    this.metrics = new Metrics({
      fromMs: scenario.pressureFromMs,
      untilMs: scenario.pressureUntilMs,
    });
    this.world = new World(scenario, {
      policy,
      events: this.events,
      seed: options.seed,
    });
  }

  /** Whether the pressure lasts at the present virtual time. */
  isPressure(): boolean {
    const { pressureFromMs, pressureUntilMs } = this.scenario;
    const { nowMs } = this.events;
    return nowMs >= pressureFromMs && nowMs < pressureUntilMs;
  }

  /**
   * Sends a request of a client to the callers listener of any daemon.
   *
   * @param random Source of the choice of the daemon.
   * @param context Context of the request.
   * @param done Called with the answer.
   */
  enter(random: SeededRandom, context: Context, done: Done): void {
    const { daemons } = this.world;
    const entry = daemons[random.nextInt(daemons.length)] as Daemon;
    this.#call(entry, context.load.call, context, done);
  }

  #call(daemon: Daemon, plan: CallPlan, context: Context, done: Done): void {
    const { nowMs } = this.events;
    if (context.repeated) {
      daemon.retries.recordRepeated(plan.pool, nowMs);
    } else {
      daemon.retries.recordOriginal(plan.pool, nowMs);
    }
    this.#attempt({ daemon, plan, context, done, excludedIds: [] });
  }

  #attempt(call: OpenCall): void {
    const { daemon, plan, context, excludedIds } = call;
    const { client, rank, depthCount } = context;
    if (client.ended) {
      return;
    }
    const pool = this.world.pools.get(plan.pool) as PoolView;
    const { nowMs } = this.events;
    const selection = daemon.selector.choose(
      pool,
      { rank, excludedIds, depthCount },
      nowMs,
    );
    if (selection.kind === "refuse") {
      call.done(refusal(`${plan.pool} entry ${selection.error}`));
      return;
    }
    const { instanceId } = selection.endpoint;
    const target = this.world.byId.get(instanceId) as Daemon;
    daemon.selector.started(instanceId, nowMs);
    let open = true;
    const close = (answer: Answer | undefined) => {
      if (!open) {
        return;
      }
      open = false;
      client.onAbort.delete(abort);
      const result = answer === undefined
        ? "cancelled"
        : answer.ok
        ? "succeeded"
        : answer.overloaded
        ? "overloaded"
        : "failed";
      daemon.selector.finished({
        instanceId,
        result,
        latencyMs: this.events.nowMs - nowMs,
        ...(answer === undefined
          ? {}
          : { load: target.upstream.admission.load() }),
      }, this.events.nowMs);
      if (answer !== undefined) {
        this.#answered(call, answer, instanceId);
      }
    };
    const abort = () => close(undefined);
    client.onAbort.add(abort);
    this.events.after(HOP_LATENCY_MS, () => {
      if (!client.ended) {
        this.#serve(
          target,
          plan,
          context,
          (answer) => this.events.after(HOP_LATENCY_MS, () => close(answer)),
        );
      }
    });
  }

  #answered(
    call: OpenCall,
    answer: Answer,
    instanceId: string,
  ): void {
    const { daemon, plan, context } = call;
    const { nowMs } = this.events;
    const attemptsLeftCount = context.attemptsLeftCount - 1;
    if (
      answer.ok || !daemon.retries.mayRetry({
        pool: plan.pool,
        attemptsLeftCount,
        outcome: answer.outcome,
        idempotent: context.load.idempotent,
        exhausted: answer.exhausted && !this.policy.freshAttempts,
        overloaded: answer.overloaded,
        remainingMs: context.client.deadlineMs - nowMs,
      }, nowMs)
    ) {
      call.done(answer);
      return;
    }
    this.#attempt({
      ...call,
      context: { ...context, attemptsLeftCount, repeated: true },
      excludedIds: [...call.excludedIds, instanceId],
    });
  }

  #serve(target: Daemon, plan: CallPlan, context: Context, done: Done): void {
    target.upstream.offer({
      ...context,
      pool: plan.pool,
      stage: "new",
      admittedMs: 0,
      workingMs: 0,
      nestedMs: 0,
      refused: (error) => done(refusal(`${plan.pool} ${error}`)),
      work: (visit) => this.#startWork(target, plan, { context, visit, done }),
    });
  }

  #startWork(
    target: Daemon,
    plan: CallPlan,
    at: { context: Context; visit: Visit; done: Done },
  ): void {
    const { context, visit, done } = at;
    const workMs = this.#sampleWork(plan);
    for (const pool of [plan.pool, ...context.holders]) {
      context.client.addWork(pool, workMs);
    }
    this.events.after(workMs, () => {
      if (visit.stage !== "working") {
        return;
      }
      this.#nested(target, plan, { ...at, next: 0 }, (answer) => {
        if (visit.stage === "working") {
          target.upstream.end(visit, answer.ok ? "succeeded" : "overloaded");
          done(
            answer.ok ? OK : { ...answer, outcome: "unknown", exhausted: true },
          );
        }
      });
    });
  }

  #nested(
    target: Daemon,
    plan: CallPlan,
    at: { context: Context; visit: Visit; next: number },
    done: Done,
  ): void {
    const call = plan.calls[at.next];
    if (call === undefined) {
      done(OK);
      return;
    }
    const sentMs = this.events.nowMs;
    const { context } = at;
    const nested = {
      ...context,
      depthCount: context.depthCount + 1,
      holders: [...context.holders, plan.pool],
      attemptsLeftCount: this.policy.freshAttempts
        ? ATTEMPTS_COUNT
        : context.attemptsLeftCount,
    };
    this.#call(target, call, nested, (answer) => {
      at.visit.nestedMs += this.events.nowMs - sentMs;
      if (answer.ok) {
        this.#nested(target, plan, { ...at, next: at.next + 1 }, done);
      } else {
        done(answer);
      }
    });
  }

  /** Log-normal work with the plan's mean, longer under pressure. */
  #sampleWork(plan: CallPlan): number {
    const slowRatio = this.isPressure()
      ? this.scenario.pools[plan.pool]?.slowRatio ?? 1
      : 1;
    const normal = Math.sqrt(-2 * Math.log(1 - this.#work.nextFloat())) *
      Math.cos(2 * Math.PI * this.#work.nextFloat());
    const factor = Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
    return plan.workMs * slowRatio * factor;
  }
}
