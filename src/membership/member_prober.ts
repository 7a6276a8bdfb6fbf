/** Selects the members to probe and applies conclusions from the results. */
import type { Address } from "../schemas/common_schema.ts";
import type { ProbeAnswer } from "../schemas/member_schema.ts";
import {
  type FailedProbe,
  FailureDetector,
  PROBE_TIMEOUT_MS,
} from "./failure_detector.ts";
import { LoopHealth } from "./loop_health.ts";
import { LostAddresses } from "./lost_addresses.ts";
import type { MemberChange } from "./member_registry.ts";
import type { MemberView } from "./member_view.ts";
import {
  type MembershipEvent,
  peerAddressOf,
  type ProbeAction,
} from "./membership_events.ts";
import { RemoteExchange } from "./remote_exchange.ts";
import { SuspicionTimeouts } from "./suspicion_timeouts.ts";

/** Interval of the event `tick`, in ms. */
export const TICK_MS = 100;

type FailedProbeEvent = MembershipEvent & { kind: "probeFailed" };

/**
 * Builds the probes of observed members, of lost members, and, if this daemon
 * is a reader, of members of other data centres; handles their results.
 */
export class MemberProber {
  readonly #view: MemberView;
  readonly #detector = new FailureDetector();
  readonly #loopHealth: LoopHealth;
  readonly #suspicions: SuspicionTimeouts;
  readonly #lost: LostAddresses;
  readonly #exchange: RemoteExchange;
  #ringsVersion = -1;
  #neighbourIds: readonly string[] = [];

  /**
   * @param view Members known to this daemon.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(view: MemberView, nowMs: number) {
    const { dataCentre } = view;
    this.#view = view;
    this.#loopHealth = new LoopHealth(nowMs, {
      tickMs: TICK_MS,
      toleranceMs: PROBE_TIMEOUT_MS,
    });
    this.#suspicions = new SuspicionTimeouts(view.registry, view.own.id);
    this.#lost = new LostAddresses(nowMs);
    this.#exchange = new RemoteExchange(view.readers, { dataCentre, nowMs });
  }

  /** Members that this daemon observes or is observed by. */
  get neighbourIds(): readonly string[] {
    return this.#neighbourIds;
  }

  /** Live readers of the other data centres. */
  listRemoteReaders(): string[] {
    return this.#exchange.listDataCentres()
      .flatMap((dataCentre) => this.#view.readers.listReaders(dataCentre));
  }

  /**
   * Extends the suspicions after a pause of the event loop. Must be called
   * before each event is handled.
   */
  trackLoopPauses(nowMs: number): void {
    const pauseMs = this.#loopHealth.measurePause(nowMs);
    if (pauseMs > 0) {
      this.#suspicions.postpone(pauseMs);
    }
  }

  /**
   * Declares members dead whose suspicion has expired, and lists the probes that
   * are due.
   *
   * @param nowMs Monotonic time, in ms.
   * @param options Whether this daemon synchronises with other data centres.
   * @returns Probes to send.
   */
  tick(nowMs: number, options: { isReader: boolean }): ProbeAction[] {
    for (const update of this.#suspicions.listExpired(nowMs)) {
      this.#view.apply(update, { nowMs });
    }
    const probes = this.#detector.takeDue(nowMs)
      .map((instanceId) => this.#buildProbe("observed", instanceId));
    const lost = this.#lost.takeDue(nowMs);
    if (lost !== undefined) {
      probes.push(this.#buildProbe("lost", lost.instanceId, lost.address));
    }
    const remote = options.isReader ? this.#exchange.takeDue(nowMs) : undefined;
    if (remote !== undefined) {
      probes.push(this.#buildProbe("remote", remote));
    }
    return probes.filter((probe) => probe !== undefined);
  }

  /** Handles an answer from the probed member. */
  handleAnswer(probe: ProbeAction, answer: ProbeAnswer, nowMs: number): void {
    const { held } = answer;
    if (probe.purpose === "observed") {
      this.#detector.recordAnswer(probe.instanceId);
      const isAccepted = held?.state === "alive" || held?.state === "leaving";
      this.#view.own.recordAnswer(isAccepted, nowMs);
    }
    if (probe.purpose === "remote") {
      this.#exchange.recordSuccess(this.#dataCentreOf(probe.instanceId));
    }
    if (held !== undefined) {
      this.#view.handleClaim(held, nowMs);
    }
  }

  /** Handles an answer from another instance at the address of a member. */
  handleReplacement(probe: ProbeAction, nowMs: number): void {
    if (probe.purpose === "observed") {
      const failure = { failure: "replaced", sentMs: nowMs } as const;
      this.#evaluateFailure(probe.instanceId, failure, nowMs);
    }
    if (probe.purpose === "lost") {
      this.#lost.remove(probe.instanceId);
    }
  }

  /** Handles a failed probe. */
  handleFailure(event: FailedProbeEvent, nowMs: number): void {
    const { instanceId, purpose } = event.probe;
    if (purpose === "remote") {
      this.#exchange.recordFailure(this.#dataCentreOf(instanceId));
    }
    if (purpose === "observed") {
      this.#evaluateFailure(instanceId, event, nowMs);
    }
  }

  /** Updates the lost addresses and the observed members after changes. */
  applyChanges(changes: readonly MemberChange[], nowMs: number): void {
    for (const { instanceId, kind } of changes) {
      if (kind === "joined") {
        this.#lost.remove(instanceId);
      }
      // The targets are updated only below, so they still contain the observed
      // members that these changes report as lost.
      if (this.#detector.observes(instanceId)) {
        this.#addLostAddress(instanceId, nowMs);
      }
    }
    this.#updateTargets(nowMs);
  }

  #evaluateFailure(
    instanceId: string,
    failed: { failure: FailedProbe["failure"]; sentMs: number },
    nowMs: number,
  ): void {
    const member = this.#view.registry.updateOf(instanceId);
    if (member === undefined) {
      return;
    }
    const conclusion = this.#detector.recordFailure(instanceId, {
      failure: failed.failure,
      isLoopLate: this.#loopHealth.wasLateSince(failed.sentMs),
      version: member,
    });
    if (conclusion === "gone") {
      const { suspectedBy: _observer, ...rest } = member;
      this.#view.apply({ ...rest, state: "gone" }, { nowMs });
    }
    if (conclusion === "suspect") {
      this.#view.apply(this.#suspicions.createSuspicion(member), { nowMs });
    }
  }

  #addLostAddress(instanceId: string, nowMs: number): void {
    const member = this.#view.registry.updateOf(instanceId);
    if (member?.state === "dead" || member?.state === "gone") {
      this.#lost.add(instanceId, peerAddressOf(member), nowMs);
    }
  }

  #updateTargets(nowMs: number): void {
    const { rings } = this.#view.registry;
    if (this.#ringsVersion === rings.version) {
      return;
    }
    this.#ringsVersion = rings.version;
    const observed = rings.observedBy(this.#view.own.id);
    const observers = rings.observersOf(this.#view.own.id);
    this.#detector.setTargets(observed, nowMs);
    this.#neighbourIds = [...new Set([...observed, ...observers])];
  }

  #buildProbe(
    purpose: ProbeAction["purpose"],
    instanceId: string,
    lostAddress?: Address,
  ): ProbeAction | undefined {
    const { registry } = this.#view;
    const known = registry.updateOf(instanceId);
    const address = lostAddress ?? (known && peerAddressOf(known));
    if (address === undefined) {
      return undefined;
    }
    const held = registry.versionOf(instanceId);
    const digest = registry.digests.total;
    const request = held === undefined ? { digest } : { held, digest };
    return { kind: "probe", purpose, instanceId, address, request };
  }

  #dataCentreOf(instanceId: string): string {
    return this.#view.registry.updateOf(instanceId)?.dataCentre ?? "";
  }
}
