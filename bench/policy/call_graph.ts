/** Simulated calls between the upstreams of a scenario. */
import { SeededRandom } from "../../src/core/random.ts";
import type { FinishedRequest } from "../../src/decisions/admission/admission_policy.ts";
import type { PoolView } from "../../src/decisions/selection/upstream_selector.ts";
import { EventQueue } from "./event_queue.ts";
import { type ClientTry, Metrics } from "./metrics.ts";
import type { BenchPolicy } from "./policies.ts";
import type { CallPlan, RouteLoad, Scenario } from "./scenario.ts";
import type { UpstreamRequest } from "./upstream_model.ts";
import { type Daemon, SimulatedDeployment } from "./simulated_deployment.ts";

const ATTEMPTS_COUNT = 3;
const HOP_LATENCY_MS = 0.5;
const WORK_SPREAD = 0.4;

/** Context that a request passes on to its downstream calls. */
export type RequestContext = {
  readonly route: string;
  readonly load: RouteLoad;
  readonly client: ClientTry;
  readonly rank: number;
  readonly tenant: string;
  readonly depthCount: number;
  readonly attemptsLeftCount: number;
  readonly isRetry: boolean;
  /** Pools nearer the client in which the request also occupies a slot. */
  readonly holdingPools: readonly string[];
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

/** A call that a daemon sends. */
type Call = {
  readonly daemon: Daemon;
  readonly plan: CallPlan;
  readonly context: RequestContext;
  readonly done: Done;
  /** Instances of its earlier attempts. */
  readonly excludedIds: readonly string[];
};

/** An attempt of a call at the upstream of a daemon. */
type Attempt = {
  readonly call: Call;
  readonly target: Daemon;
  readonly instanceId: string;
  readonly sentMs: number;
  /** Ends the attempt once; the answer is undefined when the client aborted. */
  close(answer: Answer | undefined): void;
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
 * @returns Answer with the outcome `not-run`.
 */
export function refusal(error: string): Answer {
  return { ...OK, ok: false, error, outcome: "not-run", overloaded: true };
}

function resultOf(answer: Answer | undefined): FinishedRequest["result"] {
  if (answer === undefined) {
    return "cancelled";
  }
  if (answer.ok) {
    return "succeeded";
  }
  return answer.overloaded ? "overloaded" : "failed";
}

/** Runs calls through the decision modules of the daemons in virtual time. */
export class CallGraph {
  readonly scenario: Scenario;
  readonly policy: BenchPolicy;
  readonly metrics: Metrics;
  readonly events = new EventQueue();
  readonly deployment: SimulatedDeployment;
  readonly attemptsCount = ATTEMPTS_COUNT;
  readonly #workRandom: SeededRandom;

  /**
   * @param scenario Pools and offered load.
   * @param policy Factory of the daemons' decision modules.
   * @param options Seed of service times and choices.
   */
  constructor(
    scenario: Scenario,
    policy: BenchPolicy,
    options: { seed: number },
  ) {
    this.scenario = scenario;
    this.policy = policy;
    this.#workRandom = new SeededRandom(options.seed + 1);
    this.metrics = new Metrics({
      fromMs: scenario.pressureFromMs,
      untilMs: scenario.pressureUntilMs,
    });
    this.deployment = new SimulatedDeployment(scenario, {
      policy,
      events: this.events,
      seed: options.seed,
    });
  }

  /** Whether the current virtual time is during the pressure. */
  isPressure(): boolean {
    const { pressureFromMs, pressureUntilMs } = this.scenario;
    const { nowMs } = this.events;
    return nowMs >= pressureFromMs && nowMs < pressureUntilMs;
  }

  /**
   * Sends a request of a client to the callers listener of a random daemon.
   *
   * @param random Random numbers for the choice of the daemon.
   * @param context Context of the request.
   * @param done Called with the answer.
   */
  sendFromClient(
    random: SeededRandom,
    context: RequestContext,
    done: Done,
  ): void {
    const { daemons } = this.deployment;
    const daemon = daemons[random.nextInt(daemons.length)] as Daemon;
    const { call: plan } = context.load;
    this.#call({ daemon, plan, context, done, excludedIds: [] });
  }

  #call(call: Call): void {
    const { daemon, plan, context } = call;
    if (context.isRetry) {
      daemon.retries.recordRepeated(plan.pool, this.events.nowMs);
    } else {
      daemon.retries.recordOriginal(plan.pool, this.events.nowMs);
    }
    this.#attempt(call);
  }

  #attempt(call: Call): void {
    const { daemon, plan, context, excludedIds } = call;
    const { client, rank, depthCount } = context;
    if (client.ended) {
      return;
    }
    const selection = daemon.selector.choose(
      this.deployment.pools.get(plan.pool) as PoolView,
      { rank, excludedIds, depthCount },
      this.events.nowMs,
    );
    if (selection.kind === "refuse") {
      call.done(refusal(`${plan.pool} entry ${selection.error}`));
      return;
    }
    this.#send(call, selection.endpoint.instanceId);
  }

  #send(call: Call, instanceId: string): void {
    const { client } = call.context;
    call.daemon.selector.started(instanceId, this.events.nowMs);
    const abort = () => attempt.close(undefined);
    let open = true;
    const attempt: Attempt = {
      call,
      target: this.deployment.byId.get(instanceId) as Daemon,
      instanceId,
      sentMs: this.events.nowMs,
      close: (answer) => {
        if (open) {
          open = false;
          client.onAbort.delete(abort);
          this.#finishAttempt(attempt, answer);
        }
      },
    };
    client.onAbort.add(abort);
    this.events.after(HOP_LATENCY_MS, () => {
      if (!client.ended) {
        this.#serve(attempt);
      }
    });
  }

  #finishAttempt(attempt: Attempt, answer: Answer | undefined): void {
    const { call, target, instanceId, sentMs } = attempt;
    const { nowMs } = this.events;
    call.daemon.selector.finished({
      instanceId,
      result: resultOf(answer),
      latencyMs: nowMs - sentMs,
      ...(answer === undefined
        ? {}
        : { load: target.upstream.admission.load() }),
    }, nowMs);
    if (answer === undefined) {
      return;
    }
    const attemptsLeftCount = call.context.attemptsLeftCount - 1;
    if (!this.#mayRetry(call, { answer, attemptsLeftCount })) {
      call.done(answer);
      return;
    }
    this.#attempt({
      ...call,
      context: { ...call.context, attemptsLeftCount, isRetry: true },
      excludedIds: [...call.excludedIds, instanceId],
    });
  }

  #mayRetry(
    { daemon, plan, context }: Call,
    { answer, attemptsLeftCount }: {
      answer: Answer;
      attemptsLeftCount: number;
    },
  ): boolean {
    const { nowMs } = this.events;
    return !answer.ok && daemon.retries.mayRetry({
      pool: plan.pool,
      attemptsLeftCount,
      outcome: answer.outcome,
      idempotent: context.load.idempotent,
      exhausted: answer.exhausted && !this.policy.resetsAttempts,
      overloaded: answer.overloaded,
      remainingMs: context.client.deadlineMs - nowMs,
    }, nowMs);
  }

  #serve(attempt: Attempt): void {
    const { plan, context } = attempt.call;
    const answerLater = (answer: Answer) =>
      this.events.after(HOP_LATENCY_MS, () => attempt.close(answer));
    attempt.target.upstream.offer({
      ...context,
      pool: plan.pool,
      stage: "new",
      admittedMs: 0,
      workingMs: 0,
      nestedMs: 0,
      onRefused: (error) => answerLater(refusal(`${plan.pool} ${error}`)),
      onStart: (request) =>
        this.#startWork(attempt, { request, done: answerLater }),
    });
  }

  #startWork(
    attempt: Attempt,
    at: { request: UpstreamRequest; done: Done },
  ): void {
    const { call: { plan, context }, target } = attempt;
    const workMs = this.#sampleWork(plan);
    for (const pool of [plan.pool, ...context.holdingPools]) {
      context.client.addWork(pool, workMs);
    }
    const finish = (answer: Answer) => {
      if (at.request.stage === "working") {
        target.upstream.end(at.request, resultOf(answer));
        at.done(
          answer.ok ? OK : { ...answer, outcome: "unknown", exhausted: true },
        );
      }
    };
    this.events.after(workMs, () => {
      if (at.request.stage === "working") {
        this.#callNested(attempt, {
          request: at.request,
          next: 0,
          done: finish,
        });
      }
    });
  }

  /** Makes the downstream calls, one after another. */
  #callNested(
    attempt: Attempt,
    at: { request: UpstreamRequest; next: number; done: Done },
  ): void {
    const { call: { plan: { calls, pool }, context }, target } = attempt;
    const plan = calls[at.next];
    if (plan === undefined) {
      at.done(OK);
      return;
    }
    const sentMs = this.events.nowMs;
    const done = (answer: Answer) => {
      at.request.nestedMs += this.events.nowMs - sentMs;
      if (answer.ok) {
        this.#callNested(attempt, { ...at, next: at.next + 1 });
      } else {
        at.done(answer);
      }
    };
    const nested = {
      ...context,
      depthCount: context.depthCount + 1,
      holdingPools: [...context.holdingPools, pool],
      attemptsLeftCount: this.policy.resetsAttempts
        ? ATTEMPTS_COUNT
        : context.attemptsLeftCount,
    };
    this.#call({
      daemon: target,
      plan,
      context: nested,
      done,
      excludedIds: [],
    });
  }

  /** Samples log-normal work with the plan's mean, longer under pressure. */
  #sampleWork(plan: CallPlan): number {
    const slowRatio = this.isPressure()
      ? this.scenario.pools[plan.pool]?.slowRatio ?? 1
      : 1;
    const normal = Math.sqrt(-2 * Math.log(1 - this.#workRandom.nextFloat())) *
      Math.cos(2 * Math.PI * this.#workRandom.nextFloat());
    const factor = Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
    return plan.workMs * slowRatio * factor;
  }
}
