/** Messages, bytes, processor time and delays of a simulated fleet. */
import process from "node:process";
import {
  PROBE_METHOD,
  PUSH_METHOD,
  SYNC_METHOD,
} from "../../src/membership/peer_methods.ts";
import { codecOf } from "../../src/peer/body_codec.ts";
import { sealEnvelope } from "../../src/peer/envelope.ts";
import { KeyRing } from "../../src/peer/key_ring.ts";
import type { MemberState } from "../../src/schemas/member_schema.ts";
import {
  type FleetMessage,
  type FleetNode,
  MembershipFleet,
} from "./membership_fleet.ts";

const METHODS = { probe: PROBE_METHOD, push: PUSH_METHOD, sync: SYNC_METHOD };
const KEYS = new KeyRing([{ id: "bench", secret: "0123456789abcdef" }]);
const SETTLE_MS = 15_000;
const STEADY_MS = 60_000;
const LIMIT_MS = 120_000;

/** Cost of one kind of event, for each member. */
export type MemberCost = {
  readonly messages: number;
  /** Sealed envelopes that the member sends and receives. */
  readonly bytes: number;
  /** Processor time of the decision part, without transport. */
  readonly cpuUs: number;
};

/** Figures of one fleet size. */
export type FleetFigures = {
  readonly membersCount: number;
  /** Cost per second without any change. */
  readonly steadyPerS: MemberCost;
  /** Cost of one update that reaches all members. */
  readonly perUpdate: MemberCost;
  /** Cost of the join of all members at once. */
  readonly joinOfAll: MemberCost;
  readonly joinMs: number;
  readonly leavingToLastMs: number;
  readonly killedToLastMs: number;
  readonly frozenToLastMs: number;
};

function sealedBytes(body: unknown, method: string): number {
  const { request, answer } = METHODS[method as keyof typeof METHODS];
  const isRequest = request.safeParse(body).success;
  const head = {
    method: METHODS[method as keyof typeof METHODS].name,
    direction: isRequest ? "request" : "answer",
    from: {
      instanceId: "dakar-plateau-0001",
      incarnationEpochMs: 1_700_000_000_000,
      dataCentre: "dakar-plateau",
    },
    target: "dakar-plateau-0002",
    sentEpochMs: 1_700_000_000_000,
    requestId: "0123456789ab",
    fingerprint: 0xffffffff,
  } as const;
  const packed = codecOf(isRequest ? request : answer).pack(body as never);
  return sealEnvelope(head, packed, { keys: KEYS }).length;
}

/** Counts messages, and their bytes when asked to. */
class Counter {
  messages = 0;
  bytes = 0;
  readonly #countsBytes: boolean;

  constructor(countsBytes: boolean) {
    this.#countsBytes = countsBytes;
  }

  count({ kind, body, answer }: FleetMessage): void {
    this.messages++;
    if (this.#countsBytes) {
      this.bytes += sealedBytes(body, kind) + sealedBytes(answer, kind);
    }
  }

  reset(): void {
    this.messages = 0;
    this.bytes = 0;
  }
}

type Run = { fleet: MembershipFleet; counter: Counter };

function startRun(membersCount: number, countsBytes: boolean): Run {
  const counter = new Counter(countsBytes);
  const fleet = new MembershipFleet({
    seed: 1,
    onMessage: (message) => counter.count(message),
  });
  fleet.addNodes(membersCount, { dataCentre: "dc-a", contactsCount: 2 });
  return { fleet, counter };
}

/** Runs the same steps twice: for processor time, and for bytes. */
function measureCost(
  runs: { plain: Run; counted: Run },
  step: (fleet: MembershipFleet) => void,
): MemberCost {
  const { plain, counted } = runs;
  const membersCount = plain.fleet.nodes.length;
  const before = process.cpuUsage();
  step(plain.fleet);
  const { user, system } = process.cpuUsage(before);
  counted.counter.reset();
  step(counted.fleet);
  return {
    messages: counted.counter.messages / membersCount,
    // Each message is sent by one member and received by another.
    bytes: (2 * counted.counter.bytes) / membersCount,
    cpuUs: (user + system) / membersCount,
  };
}

function subtract(a: MemberCost, b: MemberCost, factor: number): MemberCost {
  return {
    messages: a.messages - b.messages * factor,
    bytes: a.bytes - b.bytes * factor,
    cpuUs: a.cpuUs - b.cpuUs * factor,
  };
}

function divide(cost: MemberCost, divisor: number): MemberCost {
  return {
    messages: cost.messages / divisor,
    bytes: cost.bytes / divisor,
    cpuUs: cost.cpuUs / divisor,
  };
}

function timeToLast(
  fleet: MembershipFleet,
  subject: FleetNode,
  states: readonly MemberState[],
): number {
  const rest = fleet.nodes.filter((node) => node !== subject);
  return fleet.runUntil(
    () => fleet.allHold(rest, [subject], states),
    LIMIT_MS,
  );
}

/** Changes the places of many members, one after the other. */
function sendUpdates(fleet: MembershipFleet, count: number): void {
  for (let index = 0; index < count; index++) {
    const node = fleet.nodes[index % fleet.nodes.length] as FleetNode;
    const place = { slotsCount: 20 + index };
    fleet.send(node, { kind: "placed", place });
    fleet.run(1_000);
  }
}

const UPDATES_COUNT = 20;

/**
 * Measures a fleet of one data centre under a virtual clock.
 *
 * @param membersCount Members.
 * @returns Costs and delays; seed 1.
 */
export function measureFleet(membersCount: number): FleetFigures {
  const plain = startRun(membersCount, false);
  const counted = startRun(membersCount, true);
  const runs = { plain, counted };
  let joinMs = 0;
  const joinOfAll = measureCost(runs, (fleet) => {
    const isJoined = () => fleet.allHold(fleet.nodes, fleet.nodes, ["alive"]);
    joinMs = fleet.runUntil(isJoined, LIMIT_MS);
  });
  plain.fleet.run(SETTLE_MS);
  counted.fleet.run(SETTLE_MS);
  const steady = measureCost(runs, (fleet) => fleet.run(STEADY_MS));
  const steadyPerS = divide(steady, STEADY_MS / 1_000);
  const updates = measureCost(
    runs,
    (fleet) => sendUpdates(fleet, UPDATES_COUNT),
  );
  const { fleet } = plain;
  const [leaver, killed, frozen] = fleet.nodes as [
    FleetNode,
    FleetNode,
    FleetNode,
  ];
  fleet.send(leaver, { kind: "leave" });
  const leavingToLastMs = timeToLast(fleet, leaver, ["leaving"]);
  fleet.run(SETTLE_MS);
  fleet.kill(killed);
  const killedToLastMs = timeToLast(fleet, killed, ["gone"]);
  fleet.run(SETTLE_MS);
  fleet.freeze(frozen);
  const others = fleet.nodes.filter((node) => node !== killed);
  const frozenToLastMs = fleet.runUntil(
    () =>
      fleet.allHold(others.filter((node) => node !== frozen), [frozen], [
        "dead",
      ]),
    LIMIT_MS,
  );
  return {
    membersCount,
    steadyPerS,
    perUpdate: divide(
      subtract(updates, steadyPerS, UPDATES_COUNT),
      UPDATES_COUNT,
    ),
    joinOfAll,
    joinMs,
    leavingToLastMs,
    killedToLastMs,
    frozenToLastMs,
  };
}
