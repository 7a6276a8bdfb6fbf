/** Channels to the upstreams of each pool, and their mean run times. */
import type { RandomSource } from "../core/random.ts";
import { MovingAverage } from "../decisions/moving_average.ts";
import {
  chooseUpstream,
  type UpstreamCandidate,
} from "../decisions/placement/choose_upstream.ts";
import type { UpstreamChannel } from "../link/upstream_channel.ts";

/** Weight of the newest run in the mean run time of a route. */
const RUN_TIME_WEIGHT = 0.1;
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

/** Holds the channels of each pool and chooses one for a request. */
export class ChannelTable {
  readonly #options: ChannelTableOptions;
  readonly #byPool = new Map<string, Set<UpstreamChannel>>();
  readonly #runTimes = new WeakMap<
    UpstreamChannel,
    Map<string, MovingAverage>
  >();

  /**
   * @param options Data centre of this daemon and random numbers.
   */
  constructor(options: ChannelTableOptions) {
    this.#options = options;
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
    const candidates = channels.map((channel) =>
      this.#candidateOf(channel, options.routeName)
    );
    const index = chooseUpstream(candidates, {
      random: this.#options.random,
      remotePenaltyMs: Math.min(
        REMOTE_PENALTY_MAX_MS,
        Math.max(0, options.remainingMs) * REMOTE_PENALTY_RATIO,
      ),
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
    let byRoute = this.#runTimes.get(channel);
    if (byRoute === undefined) {
      byRoute = new Map();
      this.#runTimes.set(channel, byRoute);
    }
    const mean = byRoute.get(routeName);
    if (mean === undefined) {
      byRoute.set(routeName, new MovingAverage(RUN_TIME_WEIGHT, runMs));
    } else {
      mean.add(runMs);
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

  #routeRunMs(channel: UpstreamChannel, routeName: string): number {
    return this.#runTimes.get(channel)?.get(routeName)?.value ?? 0;
  }

  #candidateOf(
    channel: UpstreamChannel,
    routeName: string,
  ): UpstreamCandidate {
    const { load, state, member } = channel;
    return {
      isOwnDataCentre: member.dataCentre === this.#options.ownDataCentre,
      isCold: state?.isCold ?? false,
      limitCount: state?.limitCount ?? 0,
      openCount: load.estimatedCount,
      meanRunMs: load.meanRunMs,
      routeRunMs: this.#routeRunMs(channel, routeName),
      failureRatio: load.failureRatio,
    };
  }
}
