/** Cost of membership in a simulated data centre. */
import process from "node:process";
import {
  type FleetMessage,
  type FleetNode,
  MembershipFleet,
} from "./membership_fleet.ts";
import {
  exchangeBytes,
  measureCodecMs,
  type Traffic,
} from "./message_sizes.ts";

const SEED = 1;
const CONTACTS_COUNT = 3;
const CONVERGE_LIMIT_MS = 60_000;
const IDLE_MS = 10_000;
const EVENT_LIMIT_MS = 30_000;
const SETTLE_MS = 10_000;
const EVENTS_COUNT = 5;
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;

/** Cost of one event, such as a restart, at one daemon. */
export type EventCost = {
  /** Floods that a daemon sends and receives for one event. */
  readonly pushesCount: number;
  /** Bytes of these floods and their answers, sent and received. */
  readonly bytes: number;
  /** Longest virtual time until the event reached the last daemon, in ms. */
  readonly lastMs: number;
};

/** Figures of a simulated data centre. */
export type FleetCost = {
  readonly membersCount: number;
  /** Exchanges that a daemon starts or answers per second. */
  readonly idleExchangesPerS: number;
  /** Bytes of these exchanges per second, without the framing of gRPC. */
  readonly idleBytesPerS: number;
  /** Processor time of the decisions of one daemon, in ms per second. */
  readonly idleDecisionsMsPerS: number;
  /** Processor time of encoding and decoding a probe, in ms. */
  readonly codecMs: number;
  readonly placement: EventCost;
  readonly kill: EventCost;
  readonly leave: EventCost;
  readonly start: EventCost;
};

type MeasuredEvent = {
  trigger: (subject: FleetNode) => void;
  isSeen: (watcher: FleetNode, subject: FleetNode) => boolean;
  /** Called when all watchers have seen the event. */
  cleanUp?: (subject: FleetNode) => void;
};

class FleetMeter {
  readonly fleet: MembershipFleet;
  readonly #membersCount: number;
  #traffic = new Map<FleetMessage["kind"], Traffic>();
  #isCounting = false;
  lastProbe: FleetMessage | undefined;

  constructor(membersCount: number) {
    this.#membersCount = membersCount;
    this.fleet = new MembershipFleet({
      seed: SEED,
      onMessage: (message) => this.#count(message),
    });
    this.fleet.addNodes(membersCount, {
      dataCentre: "dc-0",
      contactsCount: CONTACTS_COUNT,
    });
  }

  converge(): void {
    const { fleet } = this;
    const isDone = () =>
      fleet.nodes.every(({ core }) =>
        core.registry.table.size === this.#membersCount
      );
    if (fleet.runUntil(isDone, CONVERGE_LIMIT_MS) === Infinity) {
      throw new Error("The members did not discover each other in time");
    }
    fleet.run(SETTLE_MS);
  }

  /** Counts the exchanges in the whole fleet while an action runs, by kind. */
  count(action: () => void): Map<FleetMessage["kind"], Traffic> {
    this.#traffic = new Map();
    this.#isCounting = true;
    action();
    this.#isCounting = false;
    return this.#traffic;
  }

  #count(message: FleetMessage): void {
    if (!this.#isCounting) {
      return;
    }
    const { kind } = message;
    if (kind === "probe") {
      this.lastProbe = message;
    }
    const known = this.#traffic.get(kind) ?? { messagesCount: 0, bytes: 0 };
    this.#traffic.set(kind, {
      messagesCount: known.messagesCount + 1,
      bytes: known.bytes + exchangeBytes(message),
    });
  }

  /**
   * Triggers an event at each subject and returns the mean cost of one event at
   * one daemon; an exchange counts at both ends.
   */
  measureEvent(
    subjects: readonly FleetNode[],
    { trigger, isSeen, cleanUp }: MeasuredEvent,
  ): EventCost {
    const delaysMs: number[] = [];
    const traffic = this.count(() => {
      for (const subject of subjects) {
        const watchers = this.fleet.nodes.filter((node) =>
          node !== subject && node.condition === "up"
        );
        trigger(subject);
        delaysMs.push(this.fleet.runUntil(
          () => watchers.every((watcher) => isSeen(watcher, subject)),
          EVENT_LIMIT_MS,
        ));
        cleanUp?.(subject);
        this.fleet.run(MS_PER_S);
      }
    });
    const pushes = traffic.get("push") ?? { messagesCount: 0, bytes: 0 };
    const share = 2 / (this.#membersCount * subjects.length);
    return {
      pushesCount: pushes.messagesCount * share,
      bytes: pushes.bytes * share,
      lastMs: Math.max(...delaysMs),
    };
  }
}

function measureDecisionsMsPerS(fleet: MembershipFleet): number {
  const start = process.cpuUsage();
  fleet.run(IDLE_MS);
  const { user, system } = process.cpuUsage(start);
  return (user + system) / US_PER_MS / fleet.nodes.length /
    (IDLE_MS / MS_PER_S);
}

function measureEvents(meter: FleetMeter) {
  const { fleet } = meter;
  const { nodes } = fleet;
  const subjectsFrom = (first: number) =>
    nodes.slice(first, first + EVENTS_COUNT);
  const isNotAlive = (watcher: FleetNode, subject: FleetNode) =>
    fleet.seenState(watcher, subject) !== "alive";
  const contacts = nodes.slice(0, CONTACTS_COUNT).map(({ address }) => address);
  const placement = meter.measureEvent(subjectsFrom(CONTACTS_COUNT), {
    trigger: (node) =>
      fleet.send(node, { kind: "placed", place: { slotsCount: 17 } }),
    isSeen: (watcher, { id, core }) =>
      watcher.core.registry.versionOf(id)?.sequence === core.ownUpdate.sequence,
  });
  const leaving = subjectsFrom(CONTACTS_COUNT + EVENTS_COUNT);
  const leave = meter.measureEvent(leaving, {
    trigger: (node) => fleet.send(node, { kind: "leave" }),
    isSeen: isNotAlive,
    cleanUp: (node) => {
      fleet.send(node, { kind: "left" });
      fleet.kill(node);
    },
  });
  const start = meter.measureEvent(leaving, {
    trigger: (node) => fleet.restart(node, contacts),
    isSeen: (watcher, subject) => fleet.seenState(watcher, subject) === "alive",
  });
  const killed = subjectsFrom(CONTACTS_COUNT + 2 * EVENTS_COUNT);
  const kill = meter.measureEvent(killed, {
    trigger: (node) => fleet.kill(node),
    isSeen: isNotAlive,
  });
  return { placement, leave, start, kill };
}

/**
 * Measures a data centre of simulated daemons under a virtual clock.
 *
 * @param membersCount Number of daemons.
 * @returns Cost per daemon.
 */
export function measureFleet(membersCount: number): FleetCost {
  const meter = new FleetMeter(membersCount);
  meter.converge();
  const idleDecisionsMsPerS = measureDecisionsMsPerS(meter.fleet);
  const idle = [...meter.count(() => meter.fleet.run(IDLE_MS)).values()];
  const sum = (field: keyof Traffic) =>
    idle.reduce((total, traffic) => total + traffic[field], 0);
  const perDaemonS = 2 / membersCount / (IDLE_MS / MS_PER_S);
  return {
    membersCount,
    idleExchangesPerS: sum("messagesCount") * perDaemonS,
    idleBytesPerS: sum("bytes") * perDaemonS,
    idleDecisionsMsPerS,
    codecMs: measureCodecMs(meter.lastProbe as FleetMessage),
    ...measureEvents(meter),
  };
}
