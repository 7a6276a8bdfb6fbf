import assert from "node:assert/strict";
import { test } from "node:test";
import { never } from "most";
import {
  type FleetNode,
  MembershipFleet,
} from "../../bench/membership/membership_fleet.ts";
import { ManualClock } from "../core/clock.ts";
import {
  type PlatformClient,
  PlatformError,
  type PutCondition,
  type PutResult,
  type StoredObject,
} from "../core/platform_client.ts";
import { SeededRandom } from "../core/random.ts";
import type { Address } from "../schemas/common_schema.ts";
import { AnnouncementPart } from "./announcement_part.ts";
import { SHARDS_COUNT, type StoredMember } from "./shard_content.ts";

/** Platform in memory that can be down or lose the answers to writes. */
class MemoryPlatform implements PlatformClient {
  readonly objects = new Map<string, StoredObject>();
  readonly writes: string[] = [];
  isDown = false;
  losesAnswers = false;

  async get(kind: string, name: string): Promise<StoredObject | undefined> {
    this.#check();
    return this.objects.get(`${kind}/${name}`);
  }

  async list(kind: string): Promise<StoredObject[]> {
    this.#check();
    return [...this.objects.values()].filter((one) => one.kind === kind);
  }

  async put(
    object: Omit<StoredObject, "version">,
    condition: PutCondition,
  ): Promise<PutResult> {
    this.#check();
    const key = `${object.kind}/${object.name}`;
    const version = this.objects.get(key)?.version;
    if ((version ?? "absent") !== condition.expectedVersion) {
      return { kind: "conflict" };
    }
    this.objects.set(key, { ...object, version: (version ?? 0) + 1 });
    this.writes.push(object.name);
    if (this.losesAnswers) {
      throw new PlatformError("unknown", "The answer was lost");
    }
    return { kind: "written", version: (version ?? 0) + 1 };
  }

  watch() {
    return never();
  }

  listIds(): string[] {
    return [...this.objects.values()]
      .flatMap(({ value }) => (value as { members: StoredMember[] }).members)
      .map(({ instanceId }) => instanceId)
      .sort();
  }

  #check(): void {
    if (this.isDown) {
      throw new PlatformError("not-applied", "The platform is down");
    }
  }
}

function startFleet(): MembershipFleet {
  const fleet = new MembershipFleet({ seed: 3 });
  fleet.addNodes(12, { dataCentre: "dc-a", contactsCount: 1 });
  fleet.run(10_000);
  return fleet;
}

function createPart(
  node: FleetNode,
  platform: PlatformClient,
  options: { holdsLease?: boolean } = {},
) {
  const clock = new ManualClock();
  const contacts: Address[] = [];
  const incarnations: number[] = [];
  const part = new AnnouncementPart({
    membership: {
      core: node.core,
      addContacts: (addresses) => contacts.push(...addresses),
      raiseIncarnationAbove: (incarnation) => incarnations.push(incarnation),
    },
    platform,
    clock,
    random: new SeededRandom(1),
    holdsLease: () => options.holdsLease ?? true,
    ticks: never(),
  });
  return { part, clock, contacts, incarnations };
}

test("the lease holder writes each changed shard once, and other daemons write nothing", async () => {
  const fleet = startFleet();
  const platform = new MemoryPlatform();
  const [first, second, leaver] = fleet.nodes as FleetNode[];
  const other = createPart(second as FleetNode, platform, {
    holdsLease: false,
  });
  await other.part.handle();
  assert.deepEqual(platform.writes, []);
  const holder = createPart(first as FleetNode, platform);
  for (let tick = 0; tick < 5; tick++) {
    await holder.part.handle();
  }
  assert.equal(platform.writes.length, SHARDS_COUNT);
  assert.equal(platform.listIds().length, 12);
  fleet.send(leaver as FleetNode, { kind: "left" });
  fleet.run(500);
  await holder.part.handle();
  assert.equal(platform.writes.length, SHARDS_COUNT + 1);
  assert.equal(platform.listIds().includes((leaver as FleetNode).id), false);
});

test("after a write whose answer is lost, the holder reads the object before it writes again", async () => {
  const platform = new MemoryPlatform();
  const [node] = startFleet().nodes as FleetNode[];
  const holder = createPart(node as FleetNode, platform);
  platform.losesAnswers = true;
  await holder.part.handle();
  platform.losesAnswers = false;
  await holder.part.handle();
  assert.equal(platform.writes.length, SHARDS_COUNT);
});

test("a holder that has not noticed the loss of its lease does not overwrite newer announcements", async () => {
  const fleet = startFleet();
  const platform = new MemoryPlatform();
  const [first, second, leaver] = fleet.nodes as FleetNode[];
  const paused = createPart(first as FleetNode, platform);
  await paused.part.handle();
  fleet.send(leaver as FleetNode, { kind: "left" });
  fleet.run(500);
  const next = createPart(second as FleetNode, platform);
  await next.part.handle();
  const ids = platform.listIds();
  await paused.part.handle();
  await paused.part.handle();
  assert.deepEqual(platform.listIds(), ids);
});

test("the announcement of a member that is dead without confirmation is kept", async () => {
  const fleet = startFleet();
  const platform = new MemoryPlatform();
  const [first, victim] = fleet.nodes as FleetNode[];
  const holder = createPart(first as FleetNode, platform);
  await holder.part.handle();
  fleet.freeze(victim as FleetNode);
  fleet.run(10_000);
  await holder.part.handle();
  assert.ok(platform.listIds().includes((victim as FleetNode).id));
  assert.equal(platform.writes.length, SHARDS_COUNT);
});

test("a joining daemon reads contacts and its last incarnation from its shard", async () => {
  const fleet = startFleet();
  const platform = new MemoryPlatform();
  const [first, restarted] = fleet.nodes as [FleetNode, FleetNode];
  const firstIncarnation = restarted.core.identity.incarnationEpochMs;
  const claimedIncarnation = firstIncarnation + 3_600_000;
  fleet.send(restarted, {
    kind: "incarnationKnown",
    incarnationEpochMs: claimedIncarnation,
  });
  fleet.run(1_000);
  await createPart(first, platform).part.handle();
  fleet.kill(restarted);
  fleet.restart(restarted, []);
  const newcomer = createPart(restarted, platform, { holdsLease: false });
  platform.isDown = true;
  await newcomer.part.handle();
  assert.deepEqual(newcomer.contacts, []);
  platform.isDown = false;
  newcomer.clock.advance(5_000);
  await newcomer.part.handle();
  assert.ok(newcomer.contacts.length > 0);
  assert.deepEqual(newcomer.incarnations, [claimedIncarnation + 1]);
});

test("a holder that has just started keeps announcements of unknown members", async () => {
  const platform = new MemoryPlatform();
  const [node] = startFleet().nodes as FleetNode[];
  await createPart(node as FleetNode, platform).part.handle();
  const otherFleet = new MembershipFleet({ seed: 4 });
  otherFleet.addNodes(1, { dataCentre: "dc-a", contactsCount: 0 });
  const [otherNode] = otherFleet.nodes as FleetNode[];
  const ids = platform.listIds();
  const holder = createPart(otherNode as FleetNode, platform);
  await holder.part.handle();
  await holder.part.handle();
  assert.deepEqual(platform.listIds(), ids);
});

test("a lease holder finds a data centre that started separately", async () => {
  const platform = new MemoryPlatform();
  const [first] = startFleet().nodes as FleetNode[];
  const otherFleet = new MembershipFleet({ seed: 4 });
  otherFleet.addNodes(1, { dataCentre: "dc-b", contactsCount: 0 });
  const [other] = otherFleet.nodes as FleetNode[];
  const holder = createPart(first as FleetNode, platform);
  await holder.part.handle();
  const otherHolder = createPart(other as FleetNode, platform);
  // A daemon that has not joined writes only after it has read its own shard,
  // which the first call does.
  await otherHolder.part.handle();
  await otherHolder.part.handle();
  holder.contacts.length = 0;
  holder.clock.advance(30_000);
  await holder.part.handle();
  assert.deepEqual(holder.contacts, [(other as FleetNode).address]);
});
