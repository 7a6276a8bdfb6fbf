/** Channels to the upstreams of each pool, and their mean run times. */
import type { RandomSource } from "../core/random.ts";
import {
  chooseUpstream,
  type UpstreamCandidate,
} from "../decisions/placement/choose_upstream.ts";
import { estimateOpenCount } from "../decisions/placement/open_estimate.ts";
import { RunTime } from "../decisions/placement/run_time.ts";
import { UpstreamTrial } from "../decisions/placement/upstream_trial.ts";
import type { UpstreamChannel } from "../link/upstream_channel.ts";

/**
 * Penalty for an upstream in another data centre, as a share of the request's
 * remaining time. Traffic between data centres costs money, but a chain of
 * calls that is late needs the fastest upstreams, so the penalty shrinks with
 * the time until the deadline.
 */
const REMOTE_PENALTY_RATIO = 0.06;
/** Upper bound of that penalty. */
const REMOTE_PENALTY_MAX_MS = 60;

/** Options of {@link ChannelTable}. */
export type ChannelTableOptions = {
  ownDataCentre: string;
  random: RandomSource;
  /** Monotonic time, in ms; that of the process by default. */
  nowMs?: () => number;
};

/** What this daemon knows of the upstream of a channel. */
type KnownUpstream = {
  readonly upstreamId: string;
  readonly trial: UpstreamTrial;
  /** Mean run times by route. */
  readonly runTimes: Map<string, RunTime>;
};

/** Holds the channels of each pool and chooses one for a request. */
export class ChannelTable {
  readonly #options: ChannelTableOptions;
  readonly #byPool = new Map<string, Set<UpstreamChannel>>();
  readonly #known = new WeakMap<UpstreamChannel, KnownUpstream>();
  /** Monotonic time of the first choice in each pool, in ms. */
  readonly #poolsSeenAtMs = new Map<string, number>();
  readonly #nowMs: () => number;

  /**
   * @param options Data centre of this daemon and random numbers.
   */
  constructor(options: ChannelTableOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /**
   * Adds a channel under its member's pool.
   *
   * @param channel Channel to an upstream.
   */
  add(channel: UpstreamChannel): void {
    const { pool } = channel.member;
    const channels = this.#byPool.get(pool) ?? new Set();
    channels.add(channel);
    this.#byPool.set(pool, channels);
  }

  /**
   * Removes a channel.
   *
   * @param channel Channel that was added before.
   */
  remove(channel: UpstreamChannel): void {
    for (const channels of this.#byPool.values()) {
      channels.delete(channel);
    }
  }

  /**
   * Lists the channels to the upstreams of a pool.
   *
   * @param pool Name of the pool.
   * @returns Channels, whether or not their upstreams serve.
   */
  channelsOf(pool: string): Iterable<UpstreamChannel> {
    return this.#byPool.get(pool) ?? [];
  }

  /**
   * Chooses the upstream with the lowest expected cost for a request.
   *
   * @param pool Pool that runs the request.
   * @param options Route, time until the deadline in ms, and names of the
   *   members that were tried before.
   * @returns Channel to the upstream; undefined when no untried one serves.
   */
  choose(
    pool: string,
    options: {
      routeName: string;
      remainingMs: number;
      tried: ReadonlySet<string>;
    },
  ): UpstreamChannel | undefined {
    const preferred: UpstreamChannel[] = [];
    const avoided: UpstreamChannel[] = [];
    for (const channel of this.channelsOf(pool)) {
      const { state } = channel;
      if (state?.isServing !== true || options.tried.has(channel.member.name)) {
        continue;
      }
      // A daemon that is stopping or suspected to be unreachable is used only
      // when there is no other one.
      const isAvoided = state.isStopping || channel.isSuspect;
      (isAvoided ? avoided : preferred).push(channel);
    }
    const channels = preferred.length > 0 ? preferred : avoided;
    const nowMs = this.#nowMs();
    const ownCount = channels
      .filter((channel) => this.#isOwnDataCentre(channel)).length;
    const candidates = channels.map((channel) =>
      this.#candidateOf(channel, options.routeName, { nowMs, ownCount })
    );
    const index = chooseUpstream(candidates, {
      random: this.#options.random,
      remotePenaltyMs: Math.min(
        REMOTE_PENALTY_MAX_MS,
        Math.max(0, options.remainingMs) * REMOTE_PENALTY_RATIO,
      ),
      remainingMs: options.remainingMs,
    });
    channels.forEach((channel, other) => {
      const trial = this.#known.get(channel)?.trial;
      if (other === index) {
        trial?.recordChosen();
      } else {
        trial?.recordSkipped();
      }
    });
    return channels[index];
  }

  /**
   * Records the run time of a request in the mean of its route.
   *
   * @param channel Channel that was chosen.
   * @param routeName Route of the request.
   * @param runMs Time at the upstream, in ms.
   */
  recordRun(channel: UpstreamChannel, routeName: string, runMs: number): void {
    const runTimes = this.#known.get(channel)?.runTimes;
    const run = {
      runMs,
      reportedMs: channel.load.meanRunMs,
      nowMs: this.#nowMs(),
    };
    const known = runTimes?.get(routeName);
    if (known === undefined) {
      runTimes?.set(routeName, new RunTime(run));
    } else {
      known.add(run);
    }
  }

  /**
   * Returns the run time of a route at the upstream of a pool that takes longest.
   *
   * @param pool Name of the pool.
   * @param routeName Route of the requests.
   * @returns Mean time at that upstream, in ms; 0 when none is known.
   */
  longestRunMs(pool: string, routeName: string): number {
    let longestMs = 0;
    for (const channel of this.channelsOf(pool)) {
      longestMs = Math.max(longestMs, this.#routeRunMs(channel, routeName));
    }
    return longestMs;
  }

  #isOwnDataCentre({ member }: UpstreamChannel): boolean {
    return member.dataCentre === this.#options.ownDataCentre;
  }

  #routeRunMs(channel: UpstreamChannel, routeName: string): number {
    return this.#known.get(channel)?.runTimes.get(routeName)?.meanMs ?? 0;
  }

  /** Returns what is known of the upstream, or starts anew with another one. */
  #knownOf(channel: UpstreamChannel, nowMs: number): KnownUpstream {
    const { state, member: { pool } } = channel;
    const upstreamId = state?.upstreamId ?? "";
    const known = this.#known.get(channel);
    if (known?.upstreamId === upstreamId) {
      return known;
    }
    const poolSeenAtMs = this.#poolsSeenAtMs.get(pool) ?? nowMs;
    this.#poolsSeenAtMs.set(pool, poolSeenAtMs);
    const trial = new UpstreamTrial({
      random: this.#options.random,
      nowMs,
      poolSeenAtMs,
      isCold: state?.isCold ?? false,
      isOwnDataCentre: this.#isOwnDataCentre(channel),
    });
    const created = { upstreamId, trial, runTimes: new Map() };
    this.#known.set(channel, created);
    return created;
  }

  #candidateOf(
    channel: UpstreamChannel,
    routeName: string,
    { nowMs, ownCount }: { nowMs: number; ownCount: number },
  ): UpstreamCandidate {
    const { load, state } = channel;
    const { trial } = this.#knownOf(channel, nowMs);
    const { isCold = false, limitCount = 0, busyRatio = 0 } = state ?? {};
    const isOwnDataCentre = this.#isOwnDataCentre(channel);
    return {
      isOwnDataCentre,
      isCold,
      isTrialDue: trial.isDue(nowMs, isOwnDataCentre ? ownCount : undefined),
      limitCount,
      openCount: estimateOpenCount({
        reportedCount: load.reportedCount,
        reportAgeMs: nowMs - load.reportedAtMs,
        meanRunMs: load.meanRunMs,
        pendingCount: load.pendingCount,
        sentSinceReportCount: load.sentSinceReportCount,
        busyRatio,
        limitCount,
      }),
      meanRunMs: load.meanRunMs,
      routeRunMs: this.#routeRunMs(channel, routeName),
      failureRatio: load.failureRatio,
    };
  }
}
