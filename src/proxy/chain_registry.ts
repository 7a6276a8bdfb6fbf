/** Contexts of the requests that the own upstream is running. */
import { ChurnMap } from "../core/churn_map.ts";
import type { RequestContext } from "./request_context.ts";

/** A running request and what happened to the calls that it made. */
export type ChainEntry = {
  readonly context: RequestContext;
  /** Whether a call that the upstream made for it failed for good. */
  downstreamFailed: boolean;
  /** Calls that the upstream made for it and that have not ended. */
  openCallsCount: number;
  /** Monotonic start of the time with open calls, in ms. */
  nestedSinceMs: number;
  /** Time spent with open calls so far, in ms. */
  nestedMs: number;
  /** Whether the upstream made a call for it. */
  calledFurther: boolean;
};

/**
 * Finds the context of a call that the upstream makes, by the request id that
 * it passes on. Class, deadline and attempts cannot be forged this way.
 */
export class ChainRegistry {
  readonly #entries = new ChurnMap<string, ChainEntry>();

  /**
   * Records a request that is about to run on the upstream.
   *
   * @param context Context of the request.
   * @returns The entry, for {@link ChainRegistry.remove}.
   */
  add(context: RequestContext): ChainEntry {
    const entry = {
      context,
      downstreamFailed: false,
      openCallsCount: 0,
      nestedSinceMs: 0,
      nestedMs: 0,
      calledFurther: false,
    };
    this.#entries.set(context.requestId, entry);
    return entry;
  }

  /**
   * Finds a running request.
   *
   * @param requestId Request id that the upstream passed on.
   * @returns The entry; undefined when no such request is running.
   */
  find(requestId: string): ChainEntry | undefined {
    return this.#entries.get(requestId);
  }

  /**
   * Records that the upstream made a call for a request.
   *
   * @param entry Running request.
   * @param nowMs Monotonic time, in ms.
   */
  startCall(entry: ChainEntry, nowMs: number): void {
    entry.calledFurther = true;
    if (entry.openCallsCount === 0) {
      entry.nestedSinceMs = nowMs;
    }
    entry.openCallsCount++;
  }

  /**
   * Records that a call for a request ended.
   *
   * @param entry Running request.
   * @param nowMs Monotonic time, in ms.
   */
  endCall(entry: ChainEntry, nowMs: number): void {
    entry.openCallsCount--;
    if (entry.openCallsCount === 0) {
      entry.nestedMs += nowMs - entry.nestedSinceMs;
    }
  }

  /**
   * Removes a request that has ended.
   *
   * @param entry Entry that {@link ChainRegistry.add} returned.
   */
  remove(entry: ChainEntry): void {
    const { requestId } = entry.context;
    if (this.#entries.get(requestId) === entry) {
      this.#entries.delete(requestId);
    }
  }
}

/**
 * Sums up the time that a request has spent on calls further down.
 *
 * @param entry Running request; undefined counts as none.
 * @param nowMs Monotonic time, in ms.
 * @returns Time with at least one open call, in ms.
 */
export function nestedTimeMs(
  entry: ChainEntry | undefined,
  nowMs: number,
): number {
  if (entry === undefined) {
    return 0;
  }
  const openMs = entry.openCallsCount > 0 ? nowMs - entry.nestedSinceMs : 0;
  return entry.nestedMs + openMs;
}
