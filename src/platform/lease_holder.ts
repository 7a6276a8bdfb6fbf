/** Acquires and renews one lease according to the chart `lease`. */
import { merge, type Stream } from "most";
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import { EventSource } from "../core/event_source.ts";
import type { PlatformClient } from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import { timerStream } from "../core/timer_stream.ts";
import type { LeaseToken } from "../schemas/platform_schema.ts";
import type { LeaseStatus } from "../schemas/status_schema.ts";
import { LEASE_LENGTH_MS, LEASE_RENEWAL_MS } from "./lease_decision.ts";
import { LeaseStore, type LeaseWriteResult } from "./lease_store.ts";

/** Events of a lease holder. */
export type LeaseEvent =
  | { readonly kind: "tick" | "release" }
  | { readonly kind: "granted"; readonly attempt: number; sentMs: number }
  | { readonly kind: "refused" | "failed"; readonly attempt: number };

/** Options of {@link LeaseHolder}. */
export type LeaseHolderOptions = {
  /** Name of the lease; the record is `leases/NAME`. */
  leaseName: string;
  /** Identity of this daemon. */
  holder: Omit<LeaseToken, "counter">;
  platform: PlatformClient;
  clock: Clock;
  /** Source of the jitter between attempts. */
  random: RandomSource;
  /**
   * Whether this daemon should compete now; default always. See
   * `lease_candidacy.ts`.
   */
  isCandidate?: () => boolean;
  /** Ticks; default one per second. */
  ticks?: Stream<unknown>;
};

const TICK_MS = 1_000;
type Granted = Extract<LeaseEvent, { kind: "granted" }>;

/**
 * Competes for one lease and renews it while held. Check
 * {@link LeaseHolder.isHeld} before each use of the lease; it reads the
 * monotonic clock, so that a process that was paused notices the lapse before
 * it acts.
 *
 * Wiring: construct one per lease, pass it as `lease` to the part that needs
 * it, and register it with the `EventLoop`. Call `release()` when the daemon
 * drains.
 *
 * @example
 * const lease = new LeaseHolder({ leaseName: "config-acceptor", holder, platform, clock, random });
 * loop.register(lease);
 * if (lease.isHeld()) { ... }
 */
export class LeaseHolder implements ControlPart<LeaseEvent> {
  static readonly #CHART = loadChart("lease", LeaseHolder.prototype);

  readonly name: string;
  readonly inputs: Stream<LeaseEvent>;
  readonly #options: LeaseHolderOptions;
  readonly #machine: StateMachine;
  readonly #store: LeaseStore;
  readonly #events = new EventSource<LeaseEvent>();
  readonly #changes = new EventSource<boolean>();
  #attempt = 0;
  #nextAttemptMs = -Infinity;
  #renewalDueMs = 0;
  #expiresMs = -Infinity;
  #releaseWrite: Promise<void> = Promise.resolve();

  /**
   * @param options Name, identity, platform, clock and candidacy.
   */
  constructor(options: LeaseHolderOptions) {
    this.#options = options;
    this.name = `lease ${options.leaseName}`;
    this.#machine = new StateMachine(LeaseHolder.#CHART, this);
    this.#store = new LeaseStore(options);
    const ticks = (options.ticks ?? timerStream(TICK_MS))
      .map((): LeaseEvent => ({ kind: "tick" }));
    this.inputs = merge(ticks, this.#events.stream);
  }

  /** Emits true when the lease is acquired and false when it is lost or released. */
  get changes(): Stream<boolean> {
    return this.#changes.stream;
  }

  /** Whether the lease may be used at this moment. */
  isHeld(): boolean {
    const usable = this.#machine.is("held") || this.#machine.is("renewing");
    return usable && this.#options.clock.monotonicMs() < this.#expiresMs;
  }

  /** Whether this daemon holds the lease or waits for the result of an attempt to acquire it. */
  isCompeting(): boolean {
    return this.#machine.is("acquiring") || this.isHeld();
  }

  /** State and last known holder for `/status`. */
  status(): LeaseStatus {
    const holder = this.#store.lastHolder();
    return {
      name: this.#options.leaseName,
      state: this.#machine.state,
      heldBySelf: this.isHeld(),
      ...(holder !== undefined && { holder }),
    };
  }

  /**
   * Releases the lease permanently; another candidate may take it at once. Call
   * this while the event loop runs, before the platform client is closed.
   *
   * @returns Resolves when the write was answered or has failed.
   */
  async release(): Promise<void> {
    this.#events.emit({ kind: "release" });
    await this.#releaseWrite;
  }

  /** @inheritdoc */
  handle(event: LeaseEvent): void {
    if ("attempt" in event && event.attempt !== this.#attempt) {
      return;
    }
    this.#machine.send(event.kind, event);
  }

  /** Guard: the pause between attempts is over and this daemon competes. */
  isAttemptDue(): boolean {
    return this.#nowMs() >= this.#nextAttemptMs &&
      (this.#options.isCandidate?.() ?? true);
  }

  /** Guard: the granted write was sent less than the lease's length ago. */
  isInTime(event: Granted): boolean {
    return this.#nowMs() < event.sentMs + LEASE_LENGTH_MS;
  }

  /** Guard: the lease has lapsed by the monotonic clock. */
  isExpired(): boolean {
    return this.#nowMs() >= this.#expiresMs;
  }

  /** Guard: the renewal interval has passed. */
  isRenewalDue(): boolean {
    return this.#nowMs() >= this.#renewalDueMs;
  }

  /** Action: reads the record and takes the lease when it is free. */
  startAcquire(): void {
    // Candidates spread their attempts over 0.5 to 1.5 renewal intervals.
    const jitter = 0.5 + this.#options.random.nextFloat();
    this.#nextAttemptMs = this.#nowMs() + jitter * LEASE_RENEWAL_MS;
    this.#startAttempt(() => this.#store.acquire());
  }

  /**
   * Action: schedules an attempt for shortly after the current holder's lease
   * lapses, unless one is due earlier.
   */
  scheduleAttempt(): void {
    const spreadMs = this.#options.random.nextFloat() * TICK_MS;
    const lapseMs = this.#store.lapseMs() + spreadMs;
    this.#nextAttemptMs = Math.min(this.#nextAttemptMs, lapseMs);
  }

  /** Action: writes the record again to renew the lease. */
  startRenewal(): void {
    this.#startAttempt(() => this.#store.renew());
  }

  /** Action: writes the record as released; if that fails, the lease lapses later. */
  startRelease(): void {
    this.#releaseWrite = this.#store.release().catch(() => {});
  }

  /** Action: sets expiry and renewal relative to the time before the write was sent. */
  recordGrant(event: Granted): void {
    this.#expiresMs = event.sentMs + LEASE_LENGTH_MS;
    this.#renewalDueMs = event.sentMs + LEASE_RENEWAL_MS;
  }

  /** Action: notifies observers that the lease is held. */
  emitHeld(): void {
    this.#changes.emit(true);
  }

  /** Action: notifies observers that the lease must not be used any more. */
  emitLost(): void {
    this.#changes.emit(false);
  }

  #nowMs(): number {
    return this.#options.clock.monotonicMs();
  }

  #startAttempt(write: () => Promise<LeaseWriteResult>): void {
    const attempt = ++this.#attempt;
    write().then(
      (result) => this.#events.emit({ ...result, attempt }),
      () => this.#events.emit({ kind: "failed", attempt }),
    );
  }
}
