/** Simulates the usage caps of many daemons on a virtual clock. */
import { type RandomSource, SeededRandom } from "../core/random.ts";
import { CapAsker, type QueryStart } from "../decisions/caps/cap_asker.ts";
import type { UsageCap } from "../decisions/caps/cap_limits.ts";
import type {
  CapAsk,
  CapGrant,
  CapHeld,
} from "../decisions/caps/cap_messages.ts";
import { CapOwner } from "../decisions/caps/cap_owner.ts";
import { RetainedMembers } from "../decisions/caps/retained_members.ts";
import { listCapCandidates } from "../decisions/caps/owner_choice.ts";
import { VirtualSchedule } from "../../bench/membership/virtual_schedule.ts";
import { type CapNetwork, SimulatedCapDaemon } from "./simulated_cap_daemon.ts";

/** Options of {@link CapSimulation}. */
export type CapSimulationOptions = {
  seed: number;
  daemonsCount: number;
  dataCentresCount: number;
  caps: ReadonlyMap<string, UsageCap>;
  network: CapNetwork;
};

/** Members that daemons know for some time after their start. */
export type IncompleteList = {
  /** Members that a daemon knows at most, including itself. */
  knownMaxCount: number;
  /**
   * Time after its start at which the store tells a daemon all members. Until
   * then it asks a peer for the members that it knows, once per second.
   */
  completeAfterMs: number;
};

/** Time after which a daemon notices that a peer is cut off, at most. */
const SILENCE_MAX_MS = 2_000;
/** Time after which a daemon notices that the process of a peer has ended. */
const CLOSED_MAX_MS = 20;
/** Time after which a link is up again, at most. */
const REDIAL_MAX_MS = 1_000;
const TICK_MS = 100;
/** Interval at which a daemon asks a peer for members. */
const QUERY_INTERVAL_MS = 1_000;

/** Daemons that admit requests under usage caps. Time is in ms from the start. */
export class CapSimulation {
  readonly #options: CapSimulationOptions;
  readonly random: RandomSource;
  readonly #events = new VirtualSchedule();
  readonly #daemons: SimulatedCapDaemon[] = [];
  readonly #byName = new Map<string, SimulatedCapDaemon>();
  /** Side of the partition by daemon; 0 without a partition. */
  readonly #sides = new Map<string, number>();
  readonly #startedAtMs = new Map<string, number[]>();
  #caps: ReadonlyMap<string, UsageCap>;
  #capsVersion = 0;
  /** Refused requests by tenant. */
  readonly refusedCounts = new Map<string, number>();
  messagesCount = 0;
  admittedCount = 0;
  /** Returns until when an admitted request waits in the queue of an upstream. */
  queuedUntilMs = (admittedAtMs: number) => admittedAtMs;
  /** Returns whether upstreams take requests; otherwise they refuse at once. */
  isTaking = (_nowMs: number) => true;
  /** Time for which a request runs at its upstream, in ms. */
  runMs = 40;
  /** Requests that a running daemon has received. */
  offeredCount = 0;

  /**
   * @param options Seed, daemons, caps and network.
   */
  constructor(options: CapSimulationOptions) {
    this.#options = options;
    this.#caps = options.caps;
    this.random = new SeededRandom(options.seed);
    for (let index = 0; index < options.daemonsCount; index++) {
      this.#add(index);
    }
    const names = this.#daemons.map(({ name }) => name);
    for (const daemon of this.#daemons) {
      daemon.known = new Set(names);
      this.start(daemon.name);
    }
  }

  /** Names of all daemons. */
  get names(): string[] {
    return this.#daemons.map(({ name }) => name);
  }

  /** Names of the candidates as the first daemon knows them. */
  get candidates(): readonly string[] {
    return this.#daemons[0]!.candidates;
  }

  /** Times at which an upstream has started requests of a tenant, in order. */
  startedAtMs(tenantName: string): readonly number[] {
    return this.#startedAtMs.get(tenantName) ?? [];
  }

  /** Simulated time, in ms from the start. */
  get nowMs(): number {
    return this.#events.nowMs;
  }

  /** Calls a function at a whole ms in the future. */
  at(atMs: number, action: () => void): void {
    this.#events.at(Math.max(Math.ceil(atMs), this.nowMs + 1), action);
  }

  /** Runs until a time. */
  run(untilMs: number): void {
    this.#events.runUntil(untilMs);
  }

  /** Sends a request of a tenant to a daemon. */
  request(daemonName: string, tenantName: string): void {
    const daemon = this.#byName.get(daemonName) as SimulatedCapDaemon;
    if (daemon.pausedUntilMs > this.nowMs) {
      this.at(
        daemon.pausedUntilMs,
        () => this.request(daemonName, tenantName),
      );
      return;
    }
    if (!daemon.isAlive) {
      return;
    }
    this.offeredCount++;
    const { generation } = daemon;
    let startsAtMs = Infinity;
    const queryStart: QueryStart = (markStarted) => {
      const startedAtMs = daemon.clockMs(startsAtMs);
      this.at(this.nowMs + this.#options.network.transitMaxMs, () => {
        if (startsAtMs <= this.nowMs && daemon.generation === generation) {
          markStarted(startedAtMs);
        }
      });
    };
    const end = daemon.asker!.admit(
      tenantName,
      (decision) => {
        if (!decision.isAdmitted) {
          const refusedCount = this.refusedCounts.get(tenantName) ?? 0;
          this.refusedCounts.set(tenantName, refusedCount + 1);
          return;
        }
        this.admittedCount++;
        if (!this.isTaking(this.nowMs)) {
          this.at(
            this.nowMs + 1,
            () => end(undefined, daemon.clockMs(this.nowMs)),
          );
          return;
        }
        startsAtMs = this.queuedUntilMs(this.nowMs);
        if (startsAtMs <= this.nowMs) {
          this.#recordStart(tenantName);
        }
        const startedAtMs = daemon.clockMs(Math.max(startsAtMs, this.nowMs));
        this.at(
          Math.max(startsAtMs, this.nowMs) + this.runMs,
          () => end(startedAtMs, daemon.clockMs(this.nowMs)),
        );
        if (startsAtMs > this.nowMs) {
          this.at(startsAtMs, () => {
            // The requests of a daemon that has ended are cancelled in the queue.
            if (daemon.generation === generation) {
              this.#recordStart(tenantName);
            }
          });
        }
      },
      daemon.clockMs(this.nowMs),
      queryStart,
    );
    this.#scheduleStep(daemon);
  }

  #recordStart(tenantName: string): void {
    const times = this.#startedAtMs.get(tenantName) ?? [];
    times.push(this.nowMs);
    this.#startedAtMs.set(tenantName, times);
  }

  /** Ends a daemon's process with all its state. */
  stop(daemonName: string): void {
    const daemon = this.#byName.get(daemonName) as SimulatedCapDaemon;
    daemon.isNew = false;
    daemon.isAlive = false;
    daemon.generation++;
    this.#updateLinks((a, b) => a === daemon || b === daemon, CLOSED_MAX_MS);
  }

  /**
   * Pauses a daemon's process. It then reads what has arrived before it does
   * anything else.
   */
  pause(daemonName: string, durationMs: number): void {
    const daemon = this.#byName.get(daemonName) as SimulatedCapDaemon;
    daemon.pausedUntilMs = this.nowMs + durationMs;
    for (const other of this.#daemons) {
      this.at(this.nowMs + 1 + this.random.nextInt(SILENCE_MAX_MS), () => {
        if (daemon.pausedUntilMs > this.nowMs) {
          other.upSinceMs.delete(daemonName);
        }
      });
    }
    this.at(daemon.pausedUntilMs + 1, () => {
      this.#updateLinks((a, b) => a === daemon || b === daemon, CLOSED_MAX_MS);
    });
  }

  /** Announces that a daemon's process will end soon. */
  announceStop(daemonName: string): void {
    (this.#byName.get(daemonName) as SimulatedCapDaemon).isStopping = true;
  }

  /** Ends all processes at once, and starts them 0.7 to 1.2 s later. */
  restartAll(list?: IncompleteList): void {
    for (const { name } of this.#daemons.filter(({ isAlive }) => isAlive)) {
      this.stop(name);
      this.at(
        this.nowMs + 700 + this.random.nextInt(500),
        () => this.start(name, list),
      );
    }
  }

  /** Starts a daemon's process with empty state. */
  start(daemonName: string, list?: IncompleteList): void {
    const daemon = this.#byName.get(daemonName) as SimulatedCapDaemon;
    if (daemon.isAlive) {
      return;
    }
    daemon.isAlive = true;
    daemon.isListComplete = list === undefined;
    if (list !== undefined) {
      this.#limitList(daemon, list);
    }
    daemon.isStopping = false;
    daemon.pausedUntilMs = 0;
    const generation = ++daemon.generation;
    daemon.upSinceMs.clear();
    daemon.capsVersion = this.#capsVersion;
    daemon.owner = new CapOwner();
    const clockMs = daemon.clockMs(this.nowMs);
    daemon.retained = new RetainedMembers();
    this.#updateCandidates(daemon);
    daemon.asker = this.#createAsker(daemon, clockMs);
    daemon.owner.applyCaps(this.#caps, clockMs);
    daemon.asker.applyCaps(this.#caps, clockMs);
    this.#updateLinks((a, b) => a === daemon || b === daemon, CLOSED_MAX_MS);
    this.at(
      this.nowMs + 1 + this.random.nextInt(TICK_MS),
      () => this.#tick(daemon, generation),
    );
  }

  /** Cuts the network into two sides; an undefined side heals it. */
  partition(isOnFirstSide: ((name: string) => boolean) | undefined): void {
    for (const { name } of this.#daemons) {
      this.#sides.set(name, isOnFirstSide?.(name) ? 1 : 0);
    }
    this.#updateLinks(() => true, SILENCE_MAX_MS);
  }

  /**
   * Lets all daemons forget the members that they do not reach, as after 10
   * minutes.
   */
  forgetUnreachable(): void {
    for (const daemon of this.#daemons) {
      daemon.known = new Set(
        [...daemon.known].filter((name) =>
          this.#isReachable(daemon, this.#byName.get(name)!)
        ),
      );
      this.#updateCandidates(daemon);
    }
  }

  /** Adds a daemon, of which the others learn within a second. */
  join(): string {
    const daemon = this.#add(this.#daemons.length);
    daemon.known = new Set(this.names);
    daemon.isNew = true;
    this.start(daemon.name);
    this.#announce((other) => other.known.add(daemon.name));
    return daemon.name;
  }

  /** Removes a daemon for good; the others learn it within a second. */
  leave(daemonName: string): void {
    this.stop(daemonName);
    this.#announce((other) => other.known.delete(daemonName));
  }

  /** Applies caps at all daemons within a second. */
  applyCaps(caps: ReadonlyMap<string, UsageCap>): void {
    this.#caps = caps;
    const version = ++this.#capsVersion;
    this.#announce((daemon) => {
      // An older configuration that arrives late is ignored.
      if (daemon.capsVersion > version) {
        return;
      }
      daemon.capsVersion = version;
      const clockMs = daemon.clockMs(this.nowMs);
      daemon.owner.applyCaps(caps, clockMs);
      daemon.asker?.applyCaps(caps, clockMs);
    });
  }

  #add(index: number): SimulatedCapDaemon {
    const daemon = new SimulatedCapDaemon(
      `daemon-${index}`,
      `dc-${index % this.#options.dataCentresCount}`,
      this.random,
    );
    this.#daemons.push(daemon);
    this.#byName.set(daemon.name, daemon);
    return daemon;
  }

  #announce(change: (daemon: SimulatedCapDaemon) => void): void {
    for (const daemon of this.#daemons) {
      this.at(this.nowMs + 1 + this.random.nextInt(1_000), () => {
        change(daemon);
        this.#updateCandidates(daemon);
        this.#updateLinks((a) => a === daemon, REDIAL_MAX_MS);
      });
    }
  }

  /** Lets a daemon know only some members until the store tells it all. */
  #limitList(daemon: SimulatedCapDaemon, list: IncompleteList): void {
    const { names } = this;
    const count = 1 + this.random.nextInt(list.knownMaxCount);
    daemon.known = new Set([daemon.name]);
    while (daemon.known.size < Math.min(count, names.length)) {
      daemon.known.add(names[this.random.nextInt(names.length)]!);
    }
    const generation = daemon.generation + 1;
    this.at(
      this.nowMs + QUERY_INTERVAL_MS,
      () => this.#queryMembers(daemon, generation),
    );
    this.at(this.nowMs + list.completeAfterMs, () => {
      if (daemon.generation === generation) {
        daemon.isListComplete = true;
        this.#learn(daemon, names);
      }
    });
  }

  /** Learns of the members that a linked daemon knows. */
  #queryMembers(daemon: SimulatedCapDaemon, generation: number): void {
    if (daemon.generation !== generation || daemon.isListComplete) {
      return;
    }
    const peers = this.#daemons.filter((peer) =>
      peer !== daemon && this.#isReachable(daemon, peer) &&
      (daemon.known.has(peer.name) || peer.known.has(daemon.name))
    );
    const peer = peers[this.random.nextInt(Math.max(1, peers.length))];
    if (peer !== undefined) {
      this.#learn(daemon, [peer.name, ...peer.known]);
      this.#learn(peer, [daemon.name]);
    }
    this.at(
      this.nowMs + QUERY_INTERVAL_MS,
      () => this.#queryMembers(daemon, generation),
    );
  }

  #learn(daemon: SimulatedCapDaemon, names: readonly string[]): void {
    names.forEach((name) => daemon.known.add(name));
    this.#updateCandidates(daemon);
    this.#updateLinks((a) => a === daemon, REDIAL_MAX_MS);
  }

  #createAsker(daemon: SimulatedCapDaemon, clockMs: number): CapAsker {
    return new CapAsker({
      view: daemon.createView((name) => this.#byName.get(name)!.isStopping),
      processId: this.random.nextInt(0x7fffffff),
      startedAtMs: clockMs,
      members: () => ({
        count: daemon.retained.count(daemon.clockMs(this.nowMs)),
        isComplete: daemon.isListComplete,
        isNew: daemon.isNew,
      }),
      random: this.random,
      send: (ownerName, ask) => this.#sendAsk(daemon, ownerName, ask),
      sendHeld: (ownerName, held) => this.#sendHeld(daemon, ownerName, held),
    });
  }

  #updateCandidates(daemon: SimulatedCapDaemon): void {
    const members = [...daemon.known].map((name) => this.#byName.get(name)!);
    daemon.candidates = listCapCandidates(members);
    daemon.retained.update(members, daemon.clockMs(this.nowMs), {
      isComplete: daemon.isListComplete,
    });
  }

  #tick(daemon: SimulatedCapDaemon, generation: number): void {
    if (daemon.generation !== generation) {
      return;
    }
    if (daemon.pausedUntilMs > this.nowMs) {
      // Timers run after what has arrived was read.
      const atMs = daemon.pausedUntilMs + 5;
      this.at(atMs, () => this.#tick(daemon, generation));
      return;
    }
    const clockMs = daemon.clockMs(this.nowMs);
    daemon.owner.tick(daemon.retained.count(clockMs), clockMs);
    daemon.asker!.tick(clockMs);
    this.#scheduleStep(daemon);
    this.at(this.nowMs + TICK_MS, () => this.#tick(daemon, generation));
  }

  #scheduleStep(daemon: SimulatedCapDaemon): void {
    const dueAtMs = daemon.asker!.dueAtMs(daemon.clockMs(this.nowMs));
    if (dueAtMs === undefined) {
      return;
    }
    const atMs = Math.ceil(
      (dueAtMs - daemon.clockOffsetMs) / daemon.clockSpeed,
    );
    if (atMs >= daemon.stepAtMs && daemon.stepAtMs > this.nowMs) {
      return;
    }
    daemon.stepAtMs = Math.max(atMs, this.nowMs + 1);
    const { generation } = daemon;
    this.at(daemon.stepAtMs, () => {
      if (
        daemon.generation === generation && daemon.pausedUntilMs <= this.nowMs
      ) {
        daemon.asker!.step(daemon.clockMs(this.nowMs));
        this.#scheduleStep(daemon);
      }
    });
  }

  #sendAsk(daemon: SimulatedCapDaemon, ownerName: string, ask: CapAsk): void {
    const owner = this.#byName.get(ownerName) as SimulatedCapDaemon;
    if (owner === daemon) {
      const clockMs = daemon.clockMs(this.nowMs);
      const grant = daemon.owner.handle(daemon.name, ask, clockMs);
      if (grant !== undefined) {
        daemon.asker!.handleGrant(daemon.name, grant, clockMs);
      }
      return;
    }
    this.#deliver(daemon, owner, () => {
      const clockMs = owner.clockMs(this.nowMs);
      const grant = owner.owner.handle(daemon.name, ask, clockMs);
      if (grant !== undefined) {
        this.#sendGrant(owner, daemon, grant);
      }
    });
  }

  #sendHeld(
    daemon: SimulatedCapDaemon,
    ownerName: string,
    held: CapHeld,
  ): void {
    const owner = this.#byName.get(ownerName) as SimulatedCapDaemon;
    const handle = () =>
      owner.owner.handleHeld(daemon.name, held, owner.clockMs(this.nowMs));
    if (owner === daemon) {
      handle();
    } else {
      this.#deliver(daemon, owner, handle);
    }
  }

  #sendGrant(
    owner: SimulatedCapDaemon,
    daemon: SimulatedCapDaemon,
    grant: CapGrant,
  ): void {
    this.#deliver(owner, daemon, () => {
      const clockMs = daemon.clockMs(this.nowMs);
      daemon.asker!.handleGrant(owner.name, grant, clockMs);
      this.#scheduleStep(daemon);
    });
  }

  #deliver(
    from: SimulatedCapDaemon,
    to: SimulatedCapDaemon,
    action: () => void,
  ): void {
    const { network } = this.#options;
    this.messagesCount++;
    const copiesCount = this.random.nextFloat() < network.duplicateRatio
      ? 2
      : 1;
    for (let copy = 0; copy < copiesCount; copy++) {
      if (this.random.nextFloat() < network.lossRatio) {
        continue;
      }
      const lateMs = this.random.nextFloat() < network.lateRatio
        ? network.lateMs
        : 0;
      const spanMs = network.transitMaxMs - network.transitMinMs;
      const transitMs = network.transitMinMs + lateMs +
        this.random.nextInt(spanMs + 1);
      const { generation } = to;
      const arrive = () => {
        if (to.pausedUntilMs > this.nowMs) {
          this.at(to.pausedUntilMs, arrive);
        } else if (
          this.#isReachable(from, to) && to.generation === generation
        ) {
          action();
        }
      };
      this.at(this.nowMs + transitMs, arrive);
    }
  }

  #isReachable(a: SimulatedCapDaemon, b: SimulatedCapDaemon): boolean {
    return a.isAlive && b.isAlive &&
      this.#sides.get(a.name) === this.#sides.get(b.name);
  }

  /** Lets the chosen links follow the state of the network, after a while. */
  #updateLinks(
    isChosen: (a: SimulatedCapDaemon, b: SimulatedCapDaemon) => boolean,
    delayMaxMs: number,
  ): void {
    for (const daemon of this.#daemons) {
      for (const name of daemon.candidates) {
        const owner = this.#byName.get(name) as SimulatedCapDaemon;
        if (owner !== daemon && isChosen(daemon, owner)) {
          this.#updateLink(daemon, owner, delayMaxMs);
        }
      }
    }
  }

  #updateLink(
    daemon: SimulatedCapDaemon,
    owner: SimulatedCapDaemon,
    delayMaxMs: number,
  ): void {
    const isDown = !this.#isReachable(daemon, owner);
    const delayMs = isDown ? delayMaxMs : REDIAL_MAX_MS;
    this.at(this.nowMs + 1 + this.random.nextInt(delayMs), () => {
      if (!daemon.isAlive || !this.#isReachable(daemon, owner)) {
        daemon.upSinceMs.delete(owner.name);
      } else if (!daemon.upSinceMs.has(owner.name)) {
        daemon.upSinceMs.set(owner.name, daemon.clockMs(this.nowMs));
      }
    });
  }
}
