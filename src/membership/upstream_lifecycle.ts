/** Life cycle of the local upstream, from the chart `upstream`. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { MemberAttributes } from "../schemas/member_schema.ts";
import type { Announcement } from "../schemas/settings_schema.ts";

/** Fields of the upstream that other daemons receive. */
export type UpstreamAttributes = Pick<
  MemberAttributes,
  "pool" | "slotsCount" | "connectionsMaxCount"
>;

/** Publishes changes of the upstream to other daemons. */
export interface UpstreamPublisher {
  /** Publishes the upstream's pool and capacity; an empty pool means none. */
  publishAttributes(attributes: UpstreamAttributes): void;
  /** Publishes that the instance is leaving, or that it no longer is. */
  setLeaving(isLeaving: boolean): void;
}

/** Options of {@link UpstreamLifecycle}. */
export type UpstreamLifecycleOptions = {
  publisher: UpstreamPublisher;
  /** Warm-up time of a pool's upstreams, in ms. */
  coldStartMs: (pool: string) => number;
};

type Announced = { announcement: Announcement; nowMs: number };

/** Fields of an instance without an upstream. */
export const NO_UPSTREAM: UpstreamAttributes = {
  pool: "",
  slotsCount: 0,
  connectionsMaxCount: 0,
};

/** States of the chart `upstream`. */
export type UpstreamState = "absent" | "cold" | "warm" | "draining" | "gone";

/**
 * Handles the announcements of the local upstream, and publishes its pool, its
 * capacity and its drains to other daemons.
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

  /** Current announcement; undefined without an upstream. */
  get current(): Announcement | undefined {
    return this.#announcement;
  }

  /** State of the upstream. */
  get state(): UpstreamState {
    return this.#machine.state as UpstreamState;
  }

  /** Handles an announcement; an unchanged one has no effect. */
  announce(announcement: Announcement, nowMs: number): void {
    this.#machine.send("announce", { announcement, nowMs });
  }

  /** Handles the withdrawal of the upstream. */
  withdraw(): void {
    this.#machine.send("withdraw");
  }

  /** Starts the drain: tells other daemons to send no new work. */
  drain(): void {
    this.#machine.send("drain");
  }

  /** Ends the drain. */
  undrain(nowMs: number): void {
    this.#machine.send("undrain", { announcement: this.#announcement, nowMs });
  }

  /** Ends the warm-up when its time has passed. */
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

  /** Guard: the announcement differs from the current one. */
  isChanged({ announcement }: Announced): boolean {
    return JSON.stringify(announcement) !== JSON.stringify(this.#announcement);
  }

  /** Action: publishes the pool and the capacity that were announced. */
  publish({ announcement }: Announced): void {
    this.#announcement = announcement;
    const { pool, slotsCount, connectionsMaxCount } = announcement;
    this.#options.publisher.publishAttributes({
      pool,
      slotsCount,
      connectionsMaxCount,
    });
  }

  /** Action: starts the warm-up. */
  startWarmUp({ nowMs }: Announced): void {
    this.#warmUpStartedMs = nowMs;
  }

  /** Action: publishes that the instance is leaving. */
  publishLeaving(): void {
    this.#options.publisher.setLeaving(true);
  }

  /** Action: publishes that the instance is no longer leaving. */
  publishServing(): void {
    this.#options.publisher.setLeaving(false);
  }

  /** Action: publishes that there is no upstream. */
  unpublish(): void {
    this.#announcement = undefined;
    this.#options.publisher.publishAttributes(NO_UPSTREAM);
  }
}

const UPSTREAM_CHART = loadChart("upstream", UpstreamLifecycle.prototype);
