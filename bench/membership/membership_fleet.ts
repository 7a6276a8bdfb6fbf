/** Simulated fleet of membership cores with a virtual clock and network. */
import type { PeerFailure } from "../../src/core/peer_transport.ts";
import { SeededRandom } from "../../src/core/random.ts";
import { TICK_MS } from "../../src/membership/member_prober.ts";
import { MembershipCore } from "../../src/membership/membership_core.ts";
import type {
  AnswerWithActions,
  MembershipAction,
  MembershipEvent,
} from "../../src/membership/membership_events.ts";
import type { Address } from "../../src/schemas/common_schema.ts";
import type { MemberState } from "../../src/schemas/member_schema.ts";
import { VirtualSchedule } from "./virtual_schedule.ts";

const TIMEOUTS_MS = { probe: 500, push: 1_000, sync: 3_000 };
const LATENCY_MIN_MS = 0.3;
const LATENCY_SPREAD_MS = 0.5;
const FIRST_PORT = 10_000;
const START_EPOCH_MS = 1_700_000_000_000;

/** One simulated daemon. */
export type FleetNode = {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: Address;
  core: MembershipCore;
  /** `killed` refuses connections; `frozen` queues all events for `resume`. */
  condition: "up" | "killed" | "frozen";
  /** Rises with each restart and kill, to drop events of an earlier process. */
  processGeneration: number;
  backlog: QueuedCallback[];
};

/** Callback that a frozen process runs when it is resumed. */
type QueuedCallback = { readonly isTimer: boolean; readonly run: () => void };

/** One message on the simulated network. */
export type FleetMessage = {
  readonly kind: MembershipAction["kind"];
  readonly from: FleetNode;
  readonly to: FleetNode | undefined;
  readonly body: unknown;
  readonly answer: unknown;
};

/** Options of {@link MembershipFleet}. */
export type MembershipFleetOptions = {
  seed: number;
  /** Whether the network drops messages in one direction. */
  isPartitioned?: (from: FleetNode, to: FleetNode) => boolean;
  /** Observes each message that was answered. */
  onMessage?: (message: FleetMessage) => void;
};

function addressesOf(index: number): { address: Address; hopPort: number } {
  const host = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`;
  return { address: { host, port: FIRST_PORT }, hopPort: FIRST_PORT + 1 };
}

/**
 * Fleet of membership cores. All random values derive from the seed.
 *
 * @example
 * const fleet = new MembershipFleet({ seed: 1 });
 * fleet.addNodes(50, { dataCentre: "dc-a", contactsCount: 2 });
 * fleet.run(10_000);
 * fleet.kill(fleet.nodes[7]);
 */
export class MembershipFleet {
  readonly nodes: FleetNode[] = [];
  readonly schedule = new VirtualSchedule();
  /** Tests replace it to partition the network and to reconnect it. */
  isPartitioned: (from: FleetNode, to: FleetNode) => boolean;
  readonly #random: SeededRandom;
  readonly #onMessage: ((message: FleetMessage) => void) | undefined;
  readonly #nodesByHost = new Map<string, FleetNode>();

  /**
   * @param options Seed and callbacks.
   */
  constructor(options: MembershipFleetOptions) {
    this.#random = new SeededRandom(options.seed);
    this.isPartitioned = options.isPartitioned ?? (() => false);
    this.#onMessage = options.onMessage;
  }

  /** Adds daemons of a data centre; their contacts are the fleet's first ones. */
  addNodes(
    count: number,
    options: { dataCentre: string; contactsCount: number; pool?: string },
  ): FleetNode[] {
    const firstIndex = this.nodes.length;
    const { dataCentre, contactsCount } = options;
    const contacts = Array.from(
      { length: contactsCount },
      (_, index) => addressesOf(index).address,
    );
    for (let index = firstIndex; index < firstIndex + count; index++) {
      const { address } = addressesOf(index);
      const node: FleetNode = {
        id: `${dataCentre}-${String(index).padStart(4, "0")}`,
        dataCentre,
        address,
        core: this.#createCore(index, { ...options, contacts }),
        condition: "up",
        processGeneration: 0,
        backlog: [],
      };
      this.nodes.push(node);
      this.#nodesByHost.set(address.host, node);
      this.#startTicks(node);
    }
    return this.nodes.slice(firstIndex);
  }

  /** Advances the virtual time. */
  run(durationMs: number): void {
    this.schedule.runUntil(this.schedule.nowMs + durationMs);
  }

  /**
   * Advances in steps of a quarter of a tick until a condition holds.
   *
   * @param isDone Condition.
   * @param limitMs Longest virtual time to advance, in ms.
   * @returns Elapsed virtual time in ms; Infinity when the limit was reached.
   */
  runUntil(isDone: () => boolean, limitMs: number): number {
    const startMs = this.schedule.nowMs;
    while (!isDone()) {
      if (this.schedule.nowMs - startMs >= limitMs) {
        return Number.POSITIVE_INFINITY;
      }
      this.run(TICK_MS / 4);
    }
    return this.schedule.nowMs - startMs;
  }

  /** Ends a process; its address refuses connections. */
  kill(node: FleetNode): void {
    node.condition = "killed";
    node.processGeneration++;
    node.backlog = [];
  }

  /** Suspends a process without ending it; its connections stay open. */
  freeze(node: FleetNode): void {
    node.condition = "frozen";
  }

  /**
   * Resumes a frozen process. It runs its queued timers first, as the event
   * loop of Node.js does, and then its queued messages.
   */
  resume(node: FleetNode): void {
    node.condition = "up";
    const backlog = node.backlog;
    node.backlog = [];
    const timers = backlog.filter(({ isTimer }) => isTimer);
    const messages = backlog.filter(({ isTimer }) => !isTimer);
    [...timers, ...messages].forEach(({ run }) => run());
  }

  /** Starts a new process at the address of a node. */
  restart(node: FleetNode, contacts: readonly Address[]): void {
    const index = this.nodes.indexOf(node);
    const { dataCentre } = node;
    node.core = this.#createCore(index, { dataCentre, contacts });
    node.condition = "up";
    node.processGeneration++;
    this.#startTicks(node);
  }

  /** Passes an event to a node as its own process would. */
  send(node: FleetNode, event: MembershipEvent): void {
    const run = () => this.#handle(node, event);
    this.#runOrQueue(node, { isTimer: false, run });
  }

  /** State of a subject in the view of an observer. */
  seenState(observer: FleetNode, subject: FleetNode): MemberState | undefined {
    return observer.core.registry.versionOf(subject.id)?.state;
  }

  /** Whether all given nodes see all subjects in one of the states. */
  allSee(
    nodes: readonly FleetNode[],
    subjects: readonly FleetNode[],
    states: readonly (MemberState | undefined)[],
  ): boolean {
    return nodes.every((node) =>
      subjects.every((subject) =>
        states.includes(this.seenState(node, subject))
      )
    );
  }

  #createCore(
    index: number,
    options: {
      dataCentre: string;
      contacts: readonly Address[];
      pool?: string;
    },
  ): MembershipCore {
    const { dataCentre, contacts, pool = "plates" } = options;
    const { address, hopPort } = addressesOf(index);
    const nowMs = this.schedule.nowMs;
    return new MembershipCore({
      instanceId: `${dataCentre}-${String(index).padStart(4, "0")}`,
      dataCentre,
      incarnationEpochMs: START_EPOCH_MS + Math.round(nowMs),
      contacts,
      place: {
        peerHost: address.host,
        peerPort: address.port,
        hopHost: address.host,
        hopPort,
        pool,
        slotsCount: 16,
        connectionsMaxCount: 200,
      },
    }, nowMs);
  }

  #startTicks(node: FleetNode): void {
    const tick = () => {
      this.#handle(node, { kind: "tick" });
      this.#setTimer(node, TICK_MS, tick);
    };
    this.#setTimer(node, this.#random.nextFloat() * TICK_MS, tick);
  }

  /** Runs a callback in a node's process after a delay. */
  #setTimer(node: FleetNode, delayMs: number, run: () => void): void {
    this.#scheduleCallback(node, delayMs, { isTimer: true, run });
  }

  /** Delivers a message to a node's process after the network latency. */
  #deliver(node: FleetNode, run: () => void): void {
    this.#scheduleCallback(node, this.#latencyMs(), { isTimer: false, run });
  }

  #scheduleCallback(
    node: FleetNode,
    delayMs: number,
    callback: QueuedCallback,
  ): void {
    const { processGeneration: startsCount } = node;
    this.schedule.at(this.schedule.nowMs + delayMs, () => {
      if (node.processGeneration === startsCount) {
        this.#runOrQueue(node, callback);
      }
    });
  }

  #runOrQueue(node: FleetNode, callback: QueuedCallback): void {
    if (node.condition === "frozen") {
      node.backlog.push(callback);
      return;
    }
    callback.run();
  }

  #handle(node: FleetNode, event: MembershipEvent): void {
    this.#perform(node, node.core.handle(event, this.schedule.nowMs));
  }

  #perform(node: FleetNode, actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      this.#request(node, action);
    }
  }

  #latencyMs(): number {
    return LATENCY_MIN_MS + this.#random.nextFloat() * LATENCY_SPREAD_MS;
  }

  #request(from: FleetNode, action: MembershipAction): void {
    const to = this.#nodesByHost.get(action.address.host);
    const sentMs = this.schedule.nowMs;
    let isOver = false;
    const end = (event: MembershipEvent | undefined) => {
      if (!isOver && event !== undefined) {
        this.#handle(from, event);
      }
      isOver = true;
    };
    const fail = (failure: PeerFailure) =>
      end(this.#describeFailure(action, failure, sentMs));
    this.#setTimer(from, TIMEOUTS_MS[action.kind], () => fail("timeout"));
    if (to === undefined || this.isPartitioned(from, to)) {
      return;
    }
    this.schedule.at(sentMs + this.#latencyMs(), () => {
      if (to.condition === "killed") {
        if (!this.isPartitioned(to, from)) {
          this.#deliver(from, () => fail("refused"));
        }
        return;
      }
      const run = () => this.#answer({ from, to }, action, end);
      this.#runOrQueue(to, { isTimer: false, run });
    });
  }

  #answer(
    link: { from: FleetNode; to: FleetNode },
    action: MembershipAction,
    end: (event: MembershipEvent | undefined) => void,
  ): void {
    const { from, to } = link;
    const result = this.#callHandler(to, action, from);
    this.#perform(to, result.actions);
    const { answer } = result;
    this.#onMessage?.({
      ...link,
      kind: action.kind,
      body: action.request,
      answer,
    });
    if (this.isPartitioned(to, from)) {
      return;
    }
    this.#deliver(from, () => {
      const event = { kind: `${action.kind}Answered`, answer };
      end(
        action.kind === "push" ? undefined : {
          ...event,
          probe: action,
          address: action.address,
        } as unknown as MembershipEvent,
      );
    });
  }

  #callHandler(
    to: FleetNode,
    action: MembershipAction,
    sender: FleetNode,
  ): AnswerWithActions<unknown> {
    const from = sender.core.identity;
    const nowMs = this.schedule.nowMs;
    switch (action.kind) {
      case "probe":
        return to.core.answerProbe(action.request, { from, nowMs });
      case "sync":
        return to.core.answerSync(action.request, { from, nowMs });
      case "push": {
        const { request } = action;
        const event = { kind: "pushed", request, fromId: sender.id } as const;
        return { answer: {}, actions: to.core.handle(event, nowMs) };
      }
    }
  }

  #describeFailure(
    action: MembershipAction,
    failure: PeerFailure,
    sentMs: number,
  ): MembershipEvent | undefined {
    switch (action.kind) {
      case "probe":
        return { kind: "probeFailed", probe: action, failure, sentMs };
      case "sync":
        return { kind: "syncFailed", address: action.address };
      case "push":
        return undefined;
    }
  }
}
