/** Bounds on what the listeners of a daemon hold. */
import type { Socket } from "node:net";
import process from "node:process";
import { collectGarbage } from "../core/collect_garbage.ts";
import { CallerConnections } from "../decisions/memory/caller_connections.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import { CollectionTrigger } from "../decisions/memory/collection_trigger.ts";
import { CostlyBodies } from "../decisions/memory/costly_bodies.ts";
import type { MachineLimits } from "../decisions/memory/machine_bounds.ts";
import { StreamedBodies } from "../decisions/memory/streamed_bodies.ts";
import {
  COSTLY_BODIES_MAX_COUNT,
  PROGRESS_CHECK_MS,
} from "../reception/body_reception.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import type { Logger } from "../telemetry/logger.ts";
import { createCallerLimits } from "../reception/caller_limits.ts";
import type { ListenerLimits } from "./listener.ts";

/**
 * Part of the connections of each listener. They are separate, so that a crowd
 * of callers does not close the connections of other daemons or of the local
 * upstream.
 */
const CONNECTION_RATIOS = { callers: 0.5, hop: 0.3, outbound: 0.2 } as const;

/**
 * Memory that the young generation of the JavaScript heap takes when it has
 * grown, which a crowd of callers makes it do: three spaces of 16 MB, the default
 * of Node.js. An idle process has hardly any of it.
 */
const YOUNG_GENERATION_BYTES = 48_000_000;

/** Listener that handles requests. */
export type ListenerName = keyof typeof CONNECTION_RATIOS;

/** A body that must make progress. */
interface ProgressCheck {
  /** Ends the body if no byte has arrived for too long. */
  checkProgress(nowMs: number): void;
}

/** Bounds of one daemon, which its listeners share. */
export class CallerBounds {
  /** Account of the bytes that are held for callers. */
  readonly memory: CallerMemory;
  /** Bodies with many small chunks. */
  readonly costlyBodies = new CostlyBodies(COSTLY_BODIES_MAX_COUNT);
  /** Bodies that are forwarded while they are received. */
  readonly streamedBodies: StreamedBodies;
  /** Collects the garbage of bodies while memory is short. */
  readonly collection: CollectionTrigger;
  /** Bodies that are being received. */
  readonly progressChecks = new Set<ProgressCheck>();
  /** Records callers that are refused or closed. */
  readonly refusals: CallerRefusals;
  /** Connections of each listener. */
  readonly connections: Readonly<
    Record<ListenerName, CallerConnections<Socket>>
  >;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param machine Limits of the machine.
   * @param log Logger for refusals.
   */
  constructor(
    { memoryMaxBytes, descriptorsMaxCount }: MachineLimits,
    log: Logger,
  ) {
    const limits = createCallerLimits({
      memoryMaxBytes: memoryMaxBytes === undefined
        ? undefined
        : memoryMaxBytes - YOUNG_GENERATION_BYTES,
      descriptorsMaxCount,
    }, log);
    this.memory = limits.memory;
    this.collection = new CollectionTrigger({
      memoryMaxBytes: memoryMaxBytes ?? Infinity,
      usedBytes: () => process.memoryUsage.rss(),
      collect: collectGarbage,
    });
    this.streamedBodies = new StreamedBodies(this.memory);
    this.refusals = limits.refusals;
    const createConnections = (
      listener: ListenerName,
    ): CallerConnections<Socket> => {
      const maxCount = Math.max(
        1,
        Math.floor(limits.connectionsMaxCount * CONNECTION_RATIOS[listener]),
      );
      const connections = new CallerConnections<Socket>(
        maxCount,
        ({ isNew }) =>
          this.refusals.record(
            isNew ? "connection_refused" : "connection_closed",
            { listener, connectionsCount: connections.count },
          ),
      );
      return connections;
    };
    this.connections = {
      callers: createConnections("callers"),
      hop: createConnections("hop"),
      outbound: createConnections("outbound"),
    };
  }

  /** Number of open connections of all listeners. */
  get connectionsCount(): number {
    return Object.values(this.connections)
      .reduce((sum, { count }) => sum + count, 0);
  }

  /**
   * Returns the bounds of one listener.
   *
   * @param listener Listener.
   * @returns Its connections, and the account of all listeners.
   */
  limitsOf(listener: ListenerName): ListenerLimits {
    const { memory, refusals } = this;
    return { connections: this.connections[listener], memory, refusals };
  }

  /** Starts the periodic check of the progress of bodies. */
  start(): void {
    this.#timer = setInterval(() => {
      const nowMs = performance.now();
      for (const body of this.progressChecks) {
        body.checkProgress(nowMs);
      }
    }, PROGRESS_CHECK_MS);
    this.#timer.unref();
  }

  /** Stops the periodic check. */
  stop(): void {
    clearInterval(this.#timer);
  }
}
