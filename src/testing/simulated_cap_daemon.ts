/** State of one daemon in a simulation of usage caps. */
import type { RandomSource } from "../core/random.ts";
import type { CapAsker } from "../decisions/caps/cap_asker.ts";
import type { CandidateView } from "../decisions/caps/owner_pointer.ts";
import { CapOwner } from "../decisions/caps/cap_owner.ts";
import { RetainedMembers } from "../decisions/caps/retained_members.ts";

/** Behaviour of the simulated network. */
export type CapNetwork = {
  lossRatio: number;
  duplicateRatio: number;
  /** Part of the messages that are late by `lateMs`. */
  lateRatio: number;
  lateMs: number;
  transitMinMs: number;
  transitMaxMs: number;
};

/** A daemon with a clock of its own. */
export class SimulatedCapDaemon {
  readonly name: string;
  readonly dataCentre: string;
  readonly clockOffsetMs: number;
  readonly clockSpeed: number;
  /** Monotonic times since which links are up, by candidate. */
  readonly upSinceMs = new Map<string, number>();
  known = new Set<string>();
  retained = new RetainedMembers();
  /** Whether the store has told all members since the start of the process. */
  isListComplete = false;
  /** Whether the store had no record of it before the start of the process. */
  isNew = false;
  candidates: readonly string[] = [];
  isAlive = false;
  /** Whether the process will end soon and has told its peers. */
  isStopping = false;
  generation = 0;
  capsVersion = 0;
  asker: CapAsker | undefined;
  owner = new CapOwner();
  stepAtMs = Infinity;
  /** Time until which the process is paused, in simulated ms. */
  pausedUntilMs = 0;

  constructor(name: string, dataCentre: string, random: RandomSource) {
    this.name = name;
    this.dataCentre = dataCentre;
    this.clockOffsetMs = random.nextInt(100_000_000);
    this.clockSpeed = 1 + (random.nextFloat() - 0.5) * 0.001;
  }

  /** Converts simulated time to the clock of this daemon. */
  clockMs(atMs: number): number {
    return this.clockOffsetMs + atMs * this.clockSpeed;
  }

  /** Creates the view of the candidates for the decisions. */
  createView(isStopping: (name: string) => boolean): CandidateView {
    const candidates = () => this.candidates;
    return {
      ownName: this.name,
      get candidates() {
        return candidates();
      },
      upSinceMs: (name) => {
        if (isStopping(name)) {
          return undefined;
        }
        return name === this.name ? -Infinity : this.upSinceMs.get(name);
      },
      isConnected: (name) => name === this.name || this.upSinceMs.has(name),
    };
  }
}
