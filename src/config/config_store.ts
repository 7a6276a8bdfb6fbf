/** Store of the accepted configuration in one daemon. */
import type { Stream } from "most";
import type { Clock } from "../core/clock.ts";
import { EventSource } from "../core/event_source.ts";
import type { ActiveConfig, ConfigSource } from "../decisions/config_source.ts";
import { RouteMatcher } from "../decisions/routing/route_matcher.ts";
import type { ConfigHead, ConfigStep } from "../schemas/config_schema.ts";
import type {
  AppliedGeneration,
  ConfigStatus,
} from "../schemas/status_schema.ts";
import { compareHeads, isStepUsable } from "./generation_rule.ts";
import { isStepSmall, StepHistory } from "./step_history.ts";
import { applyDelta, computeDelta } from "./table_delta.ts";
import { digestEntries } from "./table_digest.ts";
import { joinEntries, type TableEntries } from "./table_entries.ts";

/** Origin of an applied configuration. */
export type ConfigOrigin = {
  readonly source: AppliedGeneration["source"];
  /** Instance that flooded it; absent for the other sources. */
  readonly instanceId?: string;
};

/** A configuration that was applied. */
export type AppliedChange = {
  readonly head: ConfigHead;
  /**
   * Step to flood; absent for the first configuration and when it is too large
   * for a message.
   */
  readonly step?: ConfigStep;
  readonly origin: ConfigOrigin;
};

/** A full copy with the time of its acceptance. */
export type FullCopy = {
  readonly head: ConfigHead;
  readonly entries: TableEntries;
  readonly acceptedEpochMs?: number;
};

/** Largest number of applied generations in the status. */
const APPLIED_MAX_COUNT = 64;

/**
 * Holds the configuration in force. It applies only higher generations whose
 * entries match their digest, each as a whole.
 *
 * @example
 * const store = new ConfigStore(clock);
 * store.applyStep(step, { source: "flood", instanceId: "i-7" });
 * store.current()?.generation;
 */
export class ConfigStore implements ConfigSource {
  readonly #clock: Clock;
  readonly #changes = new EventSource<AppliedChange>();
  #active: ActiveConfig | undefined;
  #entries: TableEntries = new Map();
  readonly #history = new StepHistory();
  #applied: AppliedGeneration[] = [];
  #confirmedMs = 0;

  /**
   * @param clock Clock of this process.
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Emits each configuration after it was applied. */
  get changes(): Stream<AppliedChange> {
    return this.#changes.stream;
  }

  /** @inheritdoc */
  current(): ActiveConfig | undefined {
    return this.#active;
  }

  /** Generation and digest in force; undefined before the first one. */
  head(): ConfigHead | undefined {
    const active = this.#active;
    return active && { generation: active.generation, digest: active.digest };
  }

  /** Entries in force. */
  entries(): TableEntries {
    return this.#entries;
  }

  /**
   * Lists the steps from a generation to the one in force.
   *
   * @param head Generation and digest to start from.
   * @returns Steps in order; empty when they are not kept.
   */
  stepsFrom(head: ConfigHead): ConfigStep[] {
    return this.#history.stepsFrom(head);
  }

  /**
   * Applies one step.
   *
   * @param step Step from the generation in force.
   * @param origin Where the step came from.
   * @returns False when the step does not start at the configuration in force
   * or its result does not match its digest; nothing changes then.
   */
  applyStep(step: ConfigStep, origin: ConfigOrigin): boolean {
    if (!isStepUsable(this.head(), step)) {
      return false;
    }
    const entries = applyDelta(this.#entries, step.delta);
    if (digestEntries(entries) !== step.next.digest) {
      return false;
    }
    const { next: head, acceptedEpochMs } = step;
    this.#activate({ head, entries, acceptedEpochMs }, origin);
    this.#publish(step, origin);
    return true;
  }

  /**
   * Applies a full copy.
   *
   * @param copy Entries with generation and digest.
   * @param origin Where the copy came from.
   * @returns False when the generation is not higher or the entries do not
   * match the digest; nothing changes then.
   */
  applyFull(copy: FullCopy, origin: ConfigOrigin): boolean {
    const base = this.head();
    const before = this.#entries;
    const { head, entries } = copy;
    if (
      compareHeads(base, head) !== "newer" ||
      digestEntries(entries) !== head.digest
    ) {
      return false;
    }
    this.#activate(copy, origin);
    const step = base && {
      base,
      next: head,
      acceptedEpochMs: copy.acceptedEpochMs ?? this.#clock.wallMs(),
      delta: computeDelta(before, entries),
    };
    this.#publish(step, origin);
    return true;
  }

  /** Records that a peer or the platform has the same configuration. */
  confirm(): void {
    this.#confirmedMs = this.#clock.monotonicMs();
  }

  /** Configuration part of `/status`. */
  status(): ConfigStatus {
    return {
      generation: this.#active?.generation ?? 0,
      digest: this.#active?.digest ?? "",
      confirmedAgeMs: this.#clock.monotonicMs() - this.#confirmedMs,
      applied: [...this.#applied],
    };
  }

  #activate(copy: FullCopy, { source }: ConfigOrigin): void {
    const { head, entries, acceptedEpochMs } = copy;
    const tables = joinEntries(entries);
    this.#entries = entries;
    this.#active = { ...head, tables, matcher: new RouteMatcher(tables) };
    this.confirm();
    const applied: AppliedGeneration = {
      ...head,
      appliedEpochMs: this.#clock.wallMs(),
      ...(acceptedEpochMs !== undefined && { acceptedEpochMs }),
      source,
    };
    this.#applied = [...this.#applied, applied].slice(-APPLIED_MAX_COUNT);
  }

  #publish(step: ConfigStep | undefined, origin: ConfigOrigin): void {
    const head = this.head() as ConfigHead;
    const smallStep = step !== undefined && isStepSmall(step)
      ? step
      : undefined;
    this.#history.add(smallStep);
    this.#changes.emit({ head, ...(smallStep && { step: smallStep }), origin });
  }
}
