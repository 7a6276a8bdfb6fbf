/** Simulated upstream: slots, run times and downstream calls. */
import type { RandomSource } from "../../src/core/random.ts";
import type {
  ForwardedRequest,
  RequestHandle,
  ResultReceiver,
} from "../../src/link/upstream_channel.ts";
import type { EventQueue } from "../policy/event_queue.ts";
import type { ScenarioRoute } from "./scenario.ts";

/** Header with the id of a request. */
export const REQUEST_ID_HEADER = "request-id";

/** Spread of run times around the mean, as a share of it. */
const WORK_SPREAD_RATIO = 0.6;
const COLD_FACTOR = 2;
const COLD_MS = 3_000;
/** Slots in use above which runs take longer, and by how much at the most. */
const KNEE_RATIO = 0.95;
const KNEE_FACTOR = 1.3;

function defaultDilation(busyRatio: number): number {
  return busyRatio > KNEE_RATIO ? KNEE_FACTOR : 1;
}

/** A downstream call that an upstream makes. */
export type DownstreamCall = {
  readonly routeName: string;
  readonly requestId: string;
  readonly callerTimeoutMs: number;
};

/** Options of {@link SimulatedUpstream}. */
export type SimulatedUpstreamOptions = {
  events: EventQueue;
  random: RandomSource;
  slotsCount: number;
  speed: number;
  routes: ReadonlyMap<string, ScenarioRoute>;
  /** Factor by which runs take longer at a share of slots in use. */
  dilation?: (busyRatio: number) => number;
  /** Present slowdown by other workloads, which the upstream reports. */
  neighbourRatio?: () => number;
  /** Sends a downstream call through the daemon; returns how to cancel it. */
  call: (call: DownstreamCall, onDone: (ok: boolean) => void) => () => void;
};

type Run = {
  readonly route: ScenarioRoute;
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly expiresAtMs: number;
  readonly receiver: ResultReceiver;
  readonly openCalls: Set<() => void>;
  isEnded: boolean;
  callsCount: number;
};

/** Runs requests like an upstream behind its daemon. */
export class SimulatedUpstream {
  readonly #options: SimulatedUpstreamOptions;
  readonly #runs = new Set<Run>();
  #coldUntilMs = -Infinity;

  /**
   * @param options Virtual time, random numbers, capacity and calls.
   */
  constructor(options: SimulatedUpstreamOptions) {
    this.#options = options;
  }

  /** Reported slowdown; undefined when it reports none. */
  get slowdownRatio(): number | undefined {
    return this.#options.neighbourRatio?.();
  }

  /** Sends a request to the upstream, as the HTTP client of a daemon does. */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const { events, routes } = this.#options;
    const run: Run = {
      route: routes.get(request.routeName) as ScenarioRoute,
      requestId: request.headers[1] as string,
      startedAtMs: events.nowMs,
      expiresAtMs: events.nowMs + request.remainingMs,
      receiver,
      openCalls: new Set(),
      isEnded: false,
      callsCount: 0,
    };
    this.#runs.add(run);
    events.after(request.remainingMs, () => this.#end(run, 504));
    events.after(this.#workMs(run.route), () => this.#makeCalls(run, 0));
    return { cancel: () => this.#abort(run) };
  }

  /** Aborts all runs, and makes the upstream slow for some seconds if asked. */
  restart(isCold: boolean): void {
    for (const run of [...this.#runs]) {
      this.#abort(run);
    }
    if (isCold) {
      this.#coldUntilMs = this.#options.events.nowMs + COLD_MS;
    }
  }

  #workMs({ workMs }: ScenarioRoute): number {
    const { random, speed, slotsCount, events } = this.#options;
    const spread = 1 + WORK_SPREAD_RATIO * (2 * random.nextFloat() - 1);
    const { dilation = defaultDilation } = this.#options;
    const coldFactor = events.nowMs < this.#coldUntilMs ? COLD_FACTOR : 1;
    const slowdown = dilation(this.#runs.size / slotsCount) *
      (this.slowdownRatio ?? 1);
    return workMs * spread * coldFactor * slowdown / speed;
  }

  #makeCalls(run: Run, planIndex: number): void {
    if (run.isEnded) {
      return;
    }
    const plan = run.route.calls[planIndex];
    if (plan === undefined) {
      this.#end(run, 200);
      return;
    }
    const next = () => this.#makeCalls(run, planIndex + 1);
    let leftCount = plan.count;
    const onDone = (ok: boolean) => {
      if (run.isEnded) {
        return;
      }
      if (!ok) {
        this.#end(run, 500);
        return;
      }
      leftCount--;
      if (leftCount === 0) {
        next();
      } else if (!plan.isParallel) {
        this.#call(run, plan.route, onDone);
      }
    };
    const firstCount = plan.isParallel ? plan.count : 1;
    for (let index = 0; index < firstCount; index++) {
      this.#call(run, plan.route, onDone);
    }
  }

  #call(run: Run, routeName: string, onDone: (ok: boolean) => void): void {
    const { events, routes, call } = this.#options;
    const route = routes.get(routeName) as ScenarioRoute;
    const remainingMs = run.expiresAtMs - events.nowMs;
    let cancel = () => {};
    const finish = (ok: boolean) => {
      run.openCalls.delete(cancel);
      onDone(ok);
    };
    cancel = call({
      routeName,
      requestId: `${run.requestId}.${run.callsCount++}`,
      callerTimeoutMs: Math.min(remainingMs, route.callerTimeoutMs),
    }, finish);
    run.openCalls.add(cancel);
  }

  #end(run: Run, status: number): void {
    if (!this.#remove(run)) {
      return;
    }
    const runMs = this.#options.events.nowMs - run.startedAtMs;
    run.receiver.onAnswer({ status, headers: [], body: null, runMs });
  }

  #abort(run: Run): void {
    this.#remove(run);
  }

  #remove(run: Run): boolean {
    if (run.isEnded) {
      return false;
    }
    run.isEnded = true;
    this.#runs.delete(run);
    for (const cancel of run.openCalls) {
      cancel();
    }
    return true;
  }
}
