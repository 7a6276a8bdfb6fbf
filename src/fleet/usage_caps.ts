/** Connects the decisions on usage caps with the links of the daemon. */
import { hash32 } from "../core/hash.ts";
import type { RandomSource } from "../core/random.ts";
import {
  CapAsker,
  type EndUsage,
  type QueryStart,
} from "../decisions/caps/cap_asker.ts";
import type { UsageCap } from "../decisions/caps/cap_limits.ts";
import type { CapAsk, CapHeld } from "../decisions/caps/cap_messages.ts";
import { CapOwner } from "../decisions/caps/cap_owner.ts";
import { listCapCandidates } from "../decisions/caps/owner_choice.ts";
import { RetainedMembers } from "../decisions/caps/retained_members.ts";
import type { CandidateView } from "../decisions/caps/owner_pointer.ts";
import type { CapDecision } from "../decisions/caps/tenant_waiters.ts";
import {
  decodeUsageAsk,
  decodeUsageGrant,
  decodeUsageHeld,
  encodeUsageAsk,
  encodeUsageGrant,
  encodeUsageHeld,
} from "../link/usage_frames.ts";
import type { FleetTenant, MemberRecord } from "../schemas/fleet_schema.ts";
import { FRAME } from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { UsageCapGate } from "./usage_cap_gate.ts";
import { UsageCapLog } from "./usage_cap_log.ts";

/** Link to a candidate. */
export interface CandidateLink {
  /** Whether the peer is connected. */
  readonly isUp: boolean;
  /** State that the peer has reported. */
  readonly state: { readonly isStopping: boolean } | undefined;
  /** Sends a message to the peer as the owner of usage caps. */
  sendUsageAsk(frame: readonly unknown[]): void;
}

/** Known members and the links to them. */
export interface UsageCapMembers {
  /** Record of this daemon. */
  readonly ownRecord: Pick<MemberRecord, "name">;
  /** Whether the store has told all members since the start. */
  readonly isListComplete: boolean;
  /** Whether the store had no record of this daemon before its start. */
  readonly isNewMember: boolean;
  /** Returns the link to a member; undefined for a member without one. */
  link(name: string): CandidateLink | undefined;
  /** Makes the next tick select the links again. */
  reselectLinks(): void;
}

/** Handles the messages of peers about usage caps. */
export interface UsageCapPeers {
  /**
   * Handles a message to this daemon as an owner.
   *
   * @returns The frame of the answer, if there is one.
   */
  handleAskFrame(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined;
  /** Handles the answer of an owner. */
  handleGrantFrame(frame: readonly unknown[], peerName: string): void;
}

/** Values for the metrics. */
export type UsageCapGauges = {
  readonly usageCapRefusalsCount: number;
  readonly usageTokensRequestedCount: number;
  readonly usageTokensGrantedCount: number;
  readonly usageTokensReturnedCount: number;
  readonly usageOwnersCount: number;
  readonly usageTenantsOwnedCount: number;
};

/** Options of {@link FleetUsageCaps}. */
export type FleetUsageCapsOptions = {
  /** A function, because the directory is constructed later. */
  members: () => UsageCapMembers;
  /** Whether this daemon stops soon. */
  isStopping: () => boolean;
  /** Sliding window over which the caps apply, in ms. */
  windowMs: number;
  random: RandomSource;
  log: Logger;
};

/**
 * Applies the usage caps of tenants over all daemons. Without a tenant with a
 * cap it sends no message and needs no link.
 */
export class FleetUsageCaps implements UsageCapGate, UsageCapPeers {
  readonly #options: FleetUsageCapsOptions;
  readonly #owner = new CapOwner();
  readonly #asker: CapAsker;
  readonly #log: UsageCapLog;
  readonly #upSinceMs = new Map<string, number>();
  readonly #retained = new RetainedMembers();
  #records: readonly MemberRecord[] = [];
  #tenantNames: ReadonlySet<string> = new Set();
  #candidates: readonly string[] = [];
  #timer: NodeJS.Timeout | undefined;
  #timerAtMs = Infinity;

  /**
   * @param options Members, window, random numbers and logger.
   */
  constructor(options: FleetUsageCapsOptions) {
    this.#options = options;
    const { random, members } = options;
    this.#log = new UsageCapLog(options.log);
    const startedAtMs = performance.now();
    this.#asker = new CapAsker({
      view: this.#createView(),
      // The time tells it from that of the former process under any seed.
      processId: hash32(`${Date.now()} ${random.nextFloat()}`),
      startedAtMs,
      members: () => ({
        count: this.#retained.count(performance.now()),
        isComplete: members().isListComplete,
        isNew: members().isNewMember,
      }),
      random,
      send: (ownerName, ask) => this.#send(ownerName, ask),
      sendHeld: (ownerName, held) => this.#sendHeld(ownerName, held),
    });
  }

  /** Values for the metrics. */
  get gauges(): UsageCapGauges {
    const { requestedCount, returnedCount, refusedCount } = this.#asker.counts;
    return {
      usageCapRefusalsCount: refusedCount,
      usageTokensRequestedCount: requestedCount,
      usageTokensGrantedCount: this.#owner.grantedCount,
      usageTokensReturnedCount: returnedCount,
      usageOwnersCount: this.#asker.owners.size,
      usageTenantsOwnedCount: this.#owner.ownedCount,
    };
  }

  /** @inheritdoc */
  admit(
    tenantName: string,
    onDecision: (decision: CapDecision) => void,
    queryStart?: QueryStart,
  ): EndUsage {
    let isDecided = false;
    const end = this.#asker.admit(
      tenantName,
      (decision) => {
        isDecided = true;
        if (!decision.isAdmitted) {
          this.#log.recordRefusal(tenantName, performance.now());
        }
        onDecision(decision);
      },
      performance.now(),
      queryStart,
    );
    if (!isDecided) {
      this.#scheduleStep();
    }
    return end;
  }

  /**
   * Applies the caps of a configuration.
   *
   * @param tenants Tenants of the configuration in force.
   */
  applyTenants(tenants: readonly FleetTenant[]): void {
    const { windowMs, members } = this.#options;
    const caps = new Map<string, UsageCap>();
    for (const { name, ratePerS, burstCount } of tenants) {
      if (ratePerS > 0) {
        caps.set(name, { ratePerS, burstCount, windowMs });
      }
    }
    const hadCaps = this.#tenantNames.size > 0;
    this.#tenantNames = new Set(caps.keys());
    if (hadCaps || caps.size > 0) {
      const nowMs = performance.now();
      if (!hadCaps) {
        this.#countMembers(nowMs);
      }
      this.#owner.applyCaps(caps, nowMs);
      this.#asker.applyCaps(caps, nowMs);
      members().reselectLinks();
    }
  }

  /**
   * Selects the members to which this daemon needs a link: all that may own a
   * bucket. Called with each change of the known members.
   *
   * @param records Records of all members, including this one.
   * @returns Their names; none without a tenant with a cap.
   */
  selectLinked(records: readonly MemberRecord[]): readonly string[] {
    this.#records = records;
    if (this.#tenantNames.size === 0) {
      return [];
    }
    this.#countMembers(performance.now());
    const candidates = listCapCandidates(records);
    if (candidates.join(" ") !== this.#candidates.join(" ")) {
      this.#candidates = candidates;
    }
    return candidates;
  }

  /**
   * Follows the links, renews leases and asks for stocks. Called once per control
   * interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    if (this.#tenantNames.size === 0) {
      return;
    }
    this.#followLinks(nowMs);
    this.#owner.tick(this.#retained.count(nowMs), nowMs);
    this.#asker.tick(nowMs);
    this.#log.tick(nowMs, this.#asker.owners);
    this.#scheduleStep();
  }

  /** @inheritdoc */
  handleAskFrame(
    frame: readonly unknown[],
    peerName: string,
  ): readonly unknown[] | undefined {
    const nowMs = performance.now();
    if (frame[0] === FRAME.usageHeld) {
      this.#owner.handleHeld(peerName, decodeUsageHeld(frame), nowMs);
      return undefined;
    }
    const grant = this.#owner.handle(peerName, decodeUsageAsk(frame), nowMs);
    return grant && encodeUsageGrant(grant);
  }

  /** @inheritdoc */
  handleGrantFrame(frame: readonly unknown[], peerName: string): void {
    const grant = decodeUsageGrant(frame);
    this.#asker.handleGrant(peerName, grant, performance.now());
    this.#scheduleStep();
  }

  /** Stops the timer. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #countMembers(nowMs: number): void {
    this.#retained.update(this.#records, nowMs, {
      isComplete: this.#options.members().isListComplete,
    });
  }

  #createView(): CandidateView {
    const { members, isStopping } = this.#options;
    const candidates = () => this.#candidates;
    const upSinceMs = this.#upSinceMs;
    return {
      get ownName() {
        return members().ownRecord.name;
      },
      get candidates() {
        return candidates();
      },
      upSinceMs: (name) => {
        if (name !== members().ownRecord.name) {
          return upSinceMs.get(name);
        }
        return isStopping() ? undefined : -Infinity;
      },
      isConnected: (name) =>
        name === members().ownRecord.name ||
        members().link(name)?.isUp === true,
    };
  }

  #followLinks(nowMs: number): void {
    const isUsable = (name: string) => {
      const link = this.#options.members().link(name);
      return link !== undefined && link.isUp &&
        link.state?.isStopping !== true;
    };
    for (const name of this.#upSinceMs.keys()) {
      if (!isUsable(name)) {
        this.#upSinceMs.delete(name);
      }
    }
    for (const name of this.#candidates) {
      if (!this.#upSinceMs.has(name) && isUsable(name)) {
        this.#upSinceMs.set(name, nowMs);
      }
    }
  }

  #send(ownerName: string, ask: CapAsk): void {
    const { members } = this.#options;
    if (ownerName !== members().ownRecord.name) {
      members().link(ownerName)?.sendUsageAsk(encodeUsageAsk(ask));
      return;
    }
    const nowMs = performance.now();
    const grant = this.#owner.handle(ownerName, ask, nowMs);
    if (grant !== undefined) {
      this.#asker.handleGrant(ownerName, grant, nowMs);
    }
  }

  #sendHeld(ownerName: string, held: CapHeld): void {
    const { members } = this.#options;
    if (ownerName === members().ownRecord.name) {
      this.#owner.handleHeld(ownerName, held, performance.now());
    } else {
      members().link(ownerName)?.sendUsageAsk(encodeUsageHeld(held));
    }
  }

  /** Sets the timer for waiting requests; without them there is none. */
  #scheduleStep(): void {
    const nowMs = performance.now();
    const dueAtMs = this.#asker.dueAtMs(nowMs);
    if (dueAtMs === undefined || dueAtMs >= this.#timerAtMs) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timerAtMs = dueAtMs;
    this.#timer = setTimeout(() => {
      this.#timerAtMs = Infinity;
      this.#asker.step(performance.now());
      this.#scheduleStep();
    }, Math.ceil(Math.max(1, dueAtMs - nowMs)));
  }
}
