/** Life of the upstream beside this daemon, run by the chart `upstream`. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { MemberPlace } from "../schemas/member_schema.ts";
import type { Announcement } from "../schemas/settings_schema.ts";

/** Place of the upstream as other daemons learn it. */
export type UpstreamPlace = Pick<
  MemberPlace,
  "pool" | "slotsCount" | "connectionsMaxCount"
>;

/** Where {@link UpstreamLifecycle} publishes. */
export interface UpstreamPublisher {
  /** Publishes the place of the upstream; an empty pool withdraws it. */
  publishPlace(place: UpstreamPlace): void;
  /** Publishes that the instance leaves, or that it stays after all. */
  setLeaving(isLeaving: boolean): void;
}

/** Options of {@link UpstreamLifecycle}. */
export type UpstreamLifecycleOptions = {
  publisher: UpstreamPublisher;
  /** Time in which a new upstream of a pool warms up, in ms. */
  coldStartMs: (pool: string) => number;
};

type Announced = { announcement: Announcement; nowMs: number };

/** Place of an instance without an upstream. */
export const NO_UPSTREAM: UpstreamPlace = {
  pool: "",
  slotsCount: 0,
  connectionsMaxCount: 0,
};

/** States of the chart `upstream`. */
export type UpstreamState = "absent" | "cold" | "warm" | "draining" | "gone";

/**
 * Follows announcements of the upstream beside this daemon and publishes what
 * other daemons need.
 *
 * @example
 * upstream.announce(announcement, clock.monotonicMs());
 */
export class UpstreamLifecycle {
  readonly #options: UpstreamLifecycleOptions;
  readonly #machine = new StateMachine(UPSTREAM_CHART, this);
  #announcement: Announcement | undefined;
  #warmUpStartedMs = 0;

  /**
   * @param options Publisher and warm-up times.
   */
  constructor(options: UpstreamLifecycleOptions) {
    this.#options = options;
  }

  /** Announcement in force; undefined without an upstream. */
  get current(): Announcement | undefined {
    return this.#announcement;
  }

  /** State of the upstream. */
  get state(): UpstreamState {
    return this.#machine.state as UpstreamState;
  }

  /** Handles an announcement; a repeated one changes nothing. */
  announce(announcement: Announcement, nowMs: number): void {
    this.#machine.send("announce", { announcement, nowMs });
  }

  /** Handles the end of the upstream. */
  withdraw(): void {
    this.#machine.send("withdraw");
  }

  /** Starts to drain: other daemons send no new work. */
  drain(): void {
    this.#machine.send("drain");
  }

  /** Ends the drain. */
  undrain(nowMs: number): void {
    this.#machine.send("undrain", { announcement: this.#announcement, nowMs });
  }

  /** Follows the time. */
  tick(nowMs: number): void {
    const pool = this.#announcement?.pool;
    if (pool === undefined || !this.#machine.is("cold")) {
      return;
    }
    if (nowMs - this.#warmUpStartedMs >= this.#options.coldStartMs(pool)) {
      this.#machine.send("warmedUp");
    }
  }

  // Guards and actions of the chart `upstream`.

  /** Guard: the announcement differs from the one in force. */
  isChanged({ announcement }: Announced): boolean {
    return JSON.stringify(announcement) !== JSON.stringify(this.#announcement);
  }

  /** Action: publishes the announced place. */
  publish({ announcement }: Announced): void {
    this.#announcement = announcement;
    const { pool, slotsCount, connectionsMaxCount } = announcement;
    this.#options.publisher.publishPlace({
      pool,
      slotsCount,
      connectionsMaxCount,
    });
  }

  /** Action: the warm-up begins. */
  startWarmUp({ nowMs }: Announced): void {
    this.#warmUpStartedMs = nowMs;
  }

  /** Action: publishes that the instance leaves. */
  publishLeaving(): void {
    this.#options.publisher.setLeaving(true);
  }

  /** Action: publishes that the instance stays. */
  publishServing(): void {
    this.#options.publisher.setLeaving(false);
  }

  /** Action: publishes that there is no upstream. */
  unpublish(): void {
    this.#announcement = undefined;
    this.#options.publisher.publishPlace(NO_UPSTREAM);
  }
}

const UPSTREAM_CHART = loadChart("upstream", UpstreamLifecycle.prototype);
