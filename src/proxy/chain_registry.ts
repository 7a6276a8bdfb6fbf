/** Registry of the requests that the local upstream is running. */
import { ChurnMap } from "../core/churn_map.ts";
import type { RequestContext } from "./request_context.ts";

/** A running request and the state of the calls made for it. */
export type ChainEntry = {
  readonly context: RequestContext;
  /** Whether a call made for the request failed in spite of its retries. */
  downstreamFailed: boolean;
  /** Calls made for the request that have not ended. */
  openCallsCount: number;
  /** Monotonic time since which at least one call has been open, in ms. */
  nestedSinceMs: number;
  /** Length of the earlier periods with open calls, in ms. */
  nestedMs: number;
  /** Whether the upstream has made a call for the request. */
  calledFurther: boolean;
};

/**
 * Finds the running request that a call of the upstream belongs to, by the
 * request id that the upstream forwards. Class, deadline and attempts left are
 * taken from the registry, so the upstream cannot forge them.
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
   * @param requestId Request id that the upstream forwarded.
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
 * Computes how long a request has had downstream calls open.
 *
 * @param entry Running request; undefined gives 0.
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
