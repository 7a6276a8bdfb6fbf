/** Callers and upstreams of one pool in several data centres, on a virtual clock. */
import { SeededRandom } from "../core/random.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import { selectLinks } from "../decisions/placement/link_subset.ts";
import { ChannelTable } from "../fleet/channel_table.ts";
import {
  type UpstreamChannel,
  UpstreamLoad,
} from "../link/upstream_channel.ts";
import { UPSTREAM_STATE } from "./upstream_state.ts";
import {
  drawExponential,
  kneeDilation,
  SimulatedUpstream,
  STEP_MS,
} from "./upstream_simulation.ts";

const POOL = "pool";
const ROUTE = "r";
const CALLERS_COUNT = 59;
const SLOTS_COUNT = 39;
const KNEE_RATIO = 0.7;
const KNEE_SLOPE = 4;
const ONE_WAY_MS = 0.5;
/** Interval of state frames. */
const STATE_INTERVAL_MS = 500;
const CONTROL_INTERVAL_MS = 100;
const BUSY_WEIGHT = 0.35;
const BUSY_SENT_MIN_RATIO = 0.75;
/** Time within which callers learn of an upstream that joins. */
const JOIN_SPREAD_MS = 300;
/** Silence after which a link with open requests is suspect, and is closed. */
const SUSPECT_MS = 450;
const CLOSED_MS = 1_200;
const GOAL_MS = 302;
const DEADLINE_MS = 700;
/** See `UpstreamGate`: part of the goal for which a refusable request waits. */
const WAIT_MAX_GOAL_RATIO = 0.5;
const SENDS_MAX_COUNT = 4;
const RAMP_MS = 3_000;

/** One upstream of the pool. */
export type PlacedUpstream = {
  readonly dataCentre: string;
  readonly speed?: number;
  /** Time at which it joins, cold for some seconds; present from the start by default. */
  readonly joinsAtMs?: number;
  readonly coldMs?: number;
  /** Time from which and until which it has another speed. */
  readonly slow?: { fromMs: number; untilMs: number; speed: number };
};

/** Options of {@link simulatePlacement}. */
export type PlacementOptions = {
  readonly seed: number;
  readonly upstreams: readonly PlacedUpstream[];
  /** Offered requests, as a share of what the first upstreams run at the knee. */
  readonly loadRatio: number;
  readonly workMs?: number;
  /** Share of requests that the upstream may refuse because of its queue. */
  readonly refusableRatio?: number;
  /** Waves of the same height, with phases spread over the data centres. */
  readonly wave?: { swingRatio: number; periodMs: number };
  /** Data centre that is lost; its callers go to the other ones. */
  readonly lost?: { dataCentre: string; atMs: number };
  readonly durationMs: number;
  /** Time from which requests are counted. */
  readonly measuredFromMs: number;
};

/** What the callers got, as shares of the counted requests. */
export type PlacementResult = {
  readonly withinGoalRatio: number;
  readonly meanMs: number;
  readonly p99Ms: number;
  /** Requests that were sent to another data centre. */
  readonly remoteRatio: number;
  /** The same while an upstream of the own data centre was below its limit. */
  readonly remoteWithRoomRatio: number;
  /** Largest excess of an upstream's open requests over the mean of the pool. */
  readonly deviationMaxCount: number;
  readonly openMaxCount: number;
  readonly refusedRatio: number;
  readonly failedRatio: number;
  /** Share of the requests that each upstream got. */
  readonly shares: readonly number[];
  /** Time from joining to the first request, for each upstream that joined. */
  readonly firstRequestMs: readonly number[];
};

type Node = {
  readonly name: string;
  readonly spec: PlacedUpstream;
  readonly upstream: SimulatedUpstream;
  /** See `UpstreamGate`. */
  readonly busy: MovingAverage;
  isLost: boolean;
  sentCount: number;
  firstSentAtMs: number;
};

type Caller = {
  readonly dataCentre: string;
  readonly table: ChannelTable;
  readonly channels: Map<Node, SimulatedChannel>;
};

type SimulatedChannel = Pick<UpstreamChannel, "member" | "load"> & {
  state: UpstreamChannel["state"];
  isSuspect: boolean;
  /** Callbacks that fail the open requests when the link is closed. */
  readonly open: Set<() => void>;
};

type Request = {
  readonly caller: Caller;
  readonly sentAtMs: number;
  readonly workMs: number;
  readonly isRefusable: boolean;
  readonly isMeasured: boolean;
  readonly tried: Set<string>;
};

class PlacementSimulation {
  readonly #options: PlacementOptions;
  readonly #random: SeededRandom;
  readonly #nodes: Node[];
  readonly #callers: Caller[] = [];
  readonly #dataCentres: string[];
  readonly #actions = new Map<number, (() => void)[]>();
  readonly #times: number[] = [];
  readonly #counts = { sent: 0, remote: 0, withRoom: 0, refused: 0, failed: 0 };
  #deviationMaxCount = 0;
  #openMaxCount = 0;
  #nowMs = 0;

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#nodes = options.upstreams.map((spec, index) => ({
      name: `u-${index}`,
      spec,
      busy: new MovingAverage(BUSY_WEIGHT, 0),
      upstream: new SimulatedUpstream({
        speed: spec.speed ?? 1,
        dilation: kneeDilation(KNEE_RATIO * SLOTS_COUNT, KNEE_SLOPE),
      }, true),
      isLost: false,
      sentCount: 0,
      firstSentAtMs: Infinity,
    }));
    this.#dataCentres = [...new Set(options.upstreams.map((u) => u.dataCentre))]
      .sort();
    for (let index = 0; index < CALLERS_COUNT; index++) {
      this.#addCaller(index);
    }
  }

  run(): PlacementResult {
    const { durationMs, lost, measuredFromMs } = this.#options;
    this.#nodes.forEach((node, index) => this.#scheduleState(node, index));
    for (let step = 1; step * STEP_MS <= durationMs; step++) {
      this.#nowMs = step * STEP_MS;
      if (lost !== undefined && this.#nowMs === lost.atMs) {
        this.#loseDataCentre(lost.dataCentre);
      }
      this.#actions.get(step)?.forEach((action) => action());
      this.#actions.delete(step);
      this.#sendRequests();
      this.#stepUpstreams();
      if (this.#nowMs >= measuredFromMs) {
        this.#measureOpen();
      }
    }
    return this.#result();
  }

  #addCaller(index: number): void {
    const dataCentre = this.#dataCentres[index % this.#dataCentres.length]!;
    const caller: Caller = {
      dataCentre,
      table: new ChannelTable({
        ownDataCentre: dataCentre,
        random: this.#random,
        nowMs: () => this.#nowMs,
      }),
      channels: new Map(),
    };
    this.#callers.push(caller);
    const linked = selectLinks(
      this.#nodes.map(({ name, spec }) => ({
        name,
        dataCentre: spec.dataCentre,
        pool: POOL,
        isDown: false,
      })),
      { ownName: `caller-${index}`, ownDataCentre: dataCentre },
    );
    for (const node of this.#nodes) {
      if (linked.has(node.name)) {
        const { joinsAtMs } = node.spec;
        const delayMs = joinsAtMs === undefined
          ? 0
          : joinsAtMs + this.#random.nextFloat() * JOIN_SPREAD_MS;
        this.#after(delayMs, () => this.#connect(caller, node));
      }
    }
  }

  #connect(caller: Caller, node: Node): void {
    const { name, spec, upstream } = node;
    const channel: SimulatedChannel = {
      member: {
        name,
        dataCentre: spec.dataCentre,
        pool: POOL,
        link: { host: "h", port: 1 },
      },
      load: new UpstreamLoad(),
      state: {
        ...UPSTREAM_STATE,
        upstreamId: name,
        limitCount: upstream.limitCount,
        isCold: spec.joinsAtMs !== undefined,
      },
      isSuspect: false,
      open: new Set(),
    };
    caller.channels.set(node, channel);
    caller.table.add(channel as unknown as UpstreamChannel);
  }

  #scheduleState(node: Node, index: number): void {
    const phaseMs = index * STATE_INTERVAL_MS / this.#nodes.length;
    let sentBusyRatio = 0;
    const publish = () => {
      const { limitCount } = node.upstream;
      const { isCold } = node.upstream.behaviour;
      const busyRatio = Math.round(node.busy.value * 100) / 100;
      // As in `StatePublisher`: low ratios are not sent.
      if (Math.max(busyRatio, sentBusyRatio) > BUSY_SENT_MIN_RATIO) {
        sentBusyRatio = busyRatio;
      }
      for (const { channels } of node.isLost ? [] : this.#callers) {
        const channel = channels.get(node);
        if (channel?.state !== undefined) {
          channel.state = {
            ...channel.state,
            limitCount,
            isCold,
            busyRatio: sentBusyRatio,
          };
        }
      }
      this.#after(STATE_INTERVAL_MS, publish);
    };
    this.#after(phaseMs, publish);
  }

  #after(delayMs: number, action: () => void): void {
    const step = Math.max(
      Math.round(this.#nowMs / STEP_MS) + 1,
      Math.round((this.#nowMs + delayMs) / STEP_MS),
    );
    const actions = this.#actions.get(step) ?? [];
    actions.push(action);
    this.#actions.set(step, actions);
  }

  #sendRequests(): void {
    const { loadRatio, upstreams, workMs = 15 } = this.#options;
    const speeds = upstreams.filter((u) => u.joinsAtMs === undefined)
      .reduce((sum, { speed = 1 }) => sum + speed, 0);
    const perMs = loadRatio * KNEE_RATIO * SLOTS_COUNT * speeds / workMs *
      Math.min(1, this.#nowMs / RAMP_MS);
    const lostName = this.#isLost() ? this.#options.lost?.dataCentre : "";
    const sources = this.#dataCentres.filter((name) => name !== lostName);
    for (const dataCentre of sources) {
      const callers = this.#callers
        .filter((caller) => caller.dataCentre === dataCentre);
      let expected = perMs * STEP_MS * this.#waveRatio(dataCentre) /
        sources.length;
      for (; expected > 0; expected--) {
        if (this.#random.nextFloat() < expected) {
          this.#start(callers[this.#random.nextInt(callers.length)] as Caller);
        }
      }
    }
  }

  #isLost(): boolean {
    const { lost } = this.#options;
    return lost !== undefined && this.#nowMs >= lost.atMs;
  }

  #waveRatio(dataCentre: string): number {
    const { wave } = this.#options;
    if (wave === undefined) {
      return 1;
    }
    const phase = this.#dataCentres.indexOf(dataCentre) /
      this.#dataCentres.length;
    const turns = this.#nowMs / wave.periodMs + phase;
    return 1 + wave.swingRatio * Math.sin(2 * Math.PI * turns);
  }

  #start(caller: Caller): void {
    const { workMs = 15, refusableRatio = 0, measuredFromMs } = this.#options;
    this.#send({
      caller,
      sentAtMs: this.#nowMs,
      workMs: drawExponential(this.#random, workMs),
      isRefusable: this.#random.nextFloat() < refusableRatio,
      isMeasured: this.#nowMs >= measuredFromMs,
      tried: new Set(),
    });
  }

  #send(request: Request): void {
    const { caller, tried, sentAtMs } = request;
    const remainingMs = DEADLINE_MS - (this.#nowMs - sentAtMs);
    const chosen = remainingMs <= 0 || tried.size >= SENDS_MAX_COUNT
      ? undefined
      : caller.table.choose(POOL, { routeName: ROUTE, remainingMs, tried });
    const node = this.#nodes.find(({ name }) => name === chosen?.member.name);
    if (node === undefined) {
      this.#fail(request);
      return;
    }
    const channel = caller.channels.get(node) as SimulatedChannel;
    this.#countSent(request, node);
    tried.add(node.name);
    channel.load.pendingCount++;
    channel.load.sentSinceReportCount++;
    const fail = () => {
      channel.open.delete(fail);
      channel.load.pendingCount--;
      this.#send(request);
    };
    channel.open.add(fail);
    this.#travel(caller, node, () => this.#arrive(request, node, fail));
  }

  /** Calls an action after the time of a message between a caller and an upstream. */
  #travel(caller: Caller, node: Node, action: () => void): void {
    if (caller.dataCentre === node.spec.dataCentre) {
      action();
    } else {
      this.#after(ONE_WAY_MS, action);
    }
  }

  #countSent({ caller, isMeasured }: Request, node: Node): void {
    node.firstSentAtMs = Math.min(node.firstSentAtMs, this.#nowMs);
    if (!isMeasured) {
      return;
    }
    node.sentCount++;
    const counts = this.#counts;
    counts.sent++;
    if (node.spec.dataCentre !== caller.dataCentre) {
      counts.remote++;
      counts.withRoom += this.#nodes.some((own) =>
          own.spec.dataCentre === caller.dataCentre &&
          caller.channels.has(own) && !own.upstream.behaviour.isCold &&
          own.upstream.openCount < own.upstream.limitCount
        )
        ? 1
        : 0;
    }
  }

  #arrive(request: Request, node: Node, fail: () => void): void {
    const { caller, sentAtMs, isRefusable, workMs } = request;
    const { upstream } = node;
    const channel = caller.channels.get(node) as SimulatedChannel;
    if (node.isLost) {
      return;
    }
    const report = (nowMs: number) =>
      [
        upstream.openCount,
        Math.round(upstream.capacity.expectedRunMs(nowMs)),
        0,
      ] as [number, number, number];
    const waitMs = Math.max(0, upstream.openCount - upstream.limitCount) *
      upstream.capacity.expectedRunMs(this.#nowMs) / upstream.limitCount;
    if (isRefusable && waitMs > WAIT_MAX_GOAL_RATIO * GOAL_MS) {
      const load = report(this.#nowMs);
      this.#counts.refused += request.isMeasured ? 1 : 0;
      this.#travel(caller, node, () => {
        channel.load.update(load, this.#nowMs);
        fail();
      });
      return;
    }
    let startedAtMs = 0;
    upstream.send({
      routeName: ROUTE,
      workMs,
      expiresAtMs: sentAtMs + DEADLINE_MS,
      onStart: (atMs) => startedAtMs = atMs,
      onEnd: (endMs, isAnswered) => {
        if (node.isLost) {
          return;
        }
        const load = report(endMs);
        this.#travel(caller, node, () => {
          channel.load.update(load, this.#nowMs);
          if (!channel.open.delete(fail)) {
            return;
          }
          channel.load.pendingCount--;
          if (isAnswered) {
            caller.table.recordRun(
              channel as unknown as UpstreamChannel,
              ROUTE,
              endMs - startedAtMs,
            );
            this.#answer(request);
          } else {
            this.#fail(request);
          }
        });
      },
    });
  }

  #answer({ isMeasured, sentAtMs }: Request): void {
    if (isMeasured) {
      this.#times.push(this.#nowMs - sentAtMs);
    }
  }

  #fail({ isMeasured }: Request): void {
    this.#counts.failed += isMeasured ? 1 : 0;
  }

  #loseDataCentre(name: string): void {
    const channels: SimulatedChannel[] = [];
    for (const node of this.#nodes) {
      node.isLost ||= node.spec.dataCentre === name;
      for (const caller of node.isLost ? this.#callers : []) {
        channels.push(...[caller.channels.get(node) ?? []].flat());
      }
    }
    this.#after(SUSPECT_MS, () => {
      channels.forEach((channel) => channel.isSuspect = true);
    });
    this.#after(CLOSED_MS, () => {
      for (const channel of channels) {
        channel.state = undefined;
        [...channel.open].forEach((fail) => fail());
      }
    });
  }

  #stepUpstreams(): void {
    for (const { spec, upstream, busy, isLost } of this.#nodes) {
      const { slow, speed = 1, joinsAtMs = -Infinity, coldMs = 0 } = spec;
      const isSlow = slow !== undefined && this.#nowMs >= slow.fromMs &&
        this.#nowMs < slow.untilMs;
      upstream.behaviour.speed = isSlow ? slow.speed : speed;
      upstream.behaviour.isCold = this.#nowMs < joinsAtMs + coldMs;
      if (!isLost) {
        upstream.step(this.#nowMs);
        if (this.#nowMs % CONTROL_INTERVAL_MS === 0) {
          busy.add(upstream.openCount / upstream.limitCount);
        }
      }
    }
  }

  #measureOpen(): void {
    const counts = this.#nodes
      .filter(({ spec, isLost }) =>
        !isLost && (spec.joinsAtMs ?? 0) <= this.#nowMs
      )
      .map(({ upstream }) => upstream.openCount);
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    const most = Math.max(...counts);
    this.#openMaxCount = Math.max(this.#openMaxCount, most);
    this.#deviationMaxCount = Math.max(this.#deviationMaxCount, most - mean);
  }

  #result(): PlacementResult {
    const times = this.#times.sort((a, b) => a - b);
    const { sent, remote, withRoom, refused, failed } = this.#counts;
    const endedCount = times.length + failed;
    const total = this.#nodes.reduce((sum, node) => sum + node.sentCount, 0);
    return {
      withinGoalRatio: times.filter((ms) => ms <= GOAL_MS).length / endedCount,
      meanMs: times.reduce((sum, ms) => sum + ms, 0) / times.length,
      p99Ms: times[Math.floor(0.99 * times.length)] ?? NaN,
      remoteRatio: remote / sent,
      remoteWithRoomRatio: withRoom / sent,
      deviationMaxCount: this.#deviationMaxCount,
      openMaxCount: this.#openMaxCount,
      refusedRatio: refused / sent,
      failedRatio: failed / endedCount,
      shares: this.#nodes.map(({ sentCount }) => sentCount / total),
      firstRequestMs: this.#nodes
        .filter(({ spec }) => spec.joinsAtMs !== undefined)
        .map(({ spec, firstSentAtMs }) => firstSentAtMs - spec.joinsAtMs!),
    };
  }
}

/**
 * Plays 59 daemons in several data centres that choose among the upstreams of a
 * pool. Each has links to the upstreams that it would have links to in a fleet.
 *
 * @param options Upstreams, load and faults.
 * @returns What the callers got.
 */
export function simulatePlacement(options: PlacementOptions): PlacementResult {
  return new PlacementSimulation(options).run();
}

const DATA_CENTRES = ["a", "b", "c", "d"];
const SPEEDS = [0.7, 0.7, 1, 1.6];

/**
 * Spreads upstreams over data centres.
 *
 * @param count Number of upstreams.
 * @param options Data centres, and whether speeds differ; four and not by default.
 * @returns Upstreams, in turns over the data centres.
 */
export function placeUpstreams(
  count: number,
  { dataCentres = DATA_CENTRES, isUneven = false } = {},
): PlacedUpstream[] {
  return Array.from({ length: count }, (_, index) => ({
    dataCentre: dataCentres[index % dataCentres.length] as string,
    speed: isUneven ? SPEEDS[(index * 5 >> 2) % SPEEDS.length] as number : 1,
  }));
}
