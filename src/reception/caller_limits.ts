/** Bounds on what a daemon holds for its callers. */
import { getHeapStatistics } from "node:v8";
import { CallerMemory } from "../decisions/memory/caller_memory.ts";
import {
  deriveMachineBounds,
  type MachineLimits,
} from "../decisions/memory/machine_bounds.ts";
import { CallerRefusals } from "../telemetry/caller_refusals.ts";
import type { Logger } from "../telemetry/logger.ts";

/** Bounds on what a daemon holds for its callers, and what happens at them. */
export type CallerLimits = {
  /** Account of the bytes that are held for callers. */
  readonly memory: CallerMemory;
  /** Maximum number of connections of callers. */
  readonly connectionsMaxCount: number;
  /** Maximum number of connections to the local upstream. */
  readonly upstreamConnectionsMaxCount: number;
  /** Records callers that are refused or closed. */
  readonly refusals: CallerRefusals;
};

/**
 * Creates the bounds of a daemon.
 *
 * @param limits Limits of its machine.
 * @param log Logger for refusals.
 * @returns Bounds, with nothing held.
 */
export function createCallerLimits(
  limits: MachineLimits,
  log: Logger,
): CallerLimits {
  const bounds = deriveMachineBounds({
    heapMaxBytes: getHeapStatistics().heap_size_limit,
    ...limits,
  });
  return {
    memory: new CallerMemory(bounds.heldMaxBytes),
    connectionsMaxCount: bounds.callersMaxCount,
    upstreamConnectionsMaxCount: bounds.upstreamMaxCount,
    refusals: new CallerRefusals(log),
  };
}
