/** Registry of the requests that the local upstream is running. */
import { ChurnMap } from "../core/churn_map.ts";
import type { RequestContext } from "./request_context.ts";

/** A running request and the state of its downstream calls. */
export type RunningRequest = {
  readonly context: RequestContext;
  /** Whether a downstream call of the request failed, after any retries. */
  downstreamFailed: boolean;
  /** Downstream calls of the request that have not ended. */
  openCallsCount: number;
  /**
   * Monotonic time since which at least one call has been open, in ms; used
   * only while calls are open.
   */
  nestedSinceMs: number;
  /** Total length of the earlier periods with open calls, in ms. */
  nestedMs: number;
  /**
   * Whether the upstream has made a downstream call; one that this daemon
   * refused counts as well.
   */
  calledFurther: boolean;
};

/**
 * Finds the running request that a call of the upstream belongs to, by the
 * request id that the upstream forwards. Tenant, class, admission key and depth
 * of the call are derived from the running request, and its deadline and
 * attempts left are bounded by it, so the upstream cannot forge them.
 */
export class RunningRequests {
  readonly #entries = new ChurnMap<string, RunningRequest>();

  /**
   * Records a request that is about to run on the upstream.
   *
   * @param context Context of the request.
   * @returns The entry, for {@link RunningRequests.remove}.
   */
  add(context: RequestContext): RunningRequest {
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
  find(requestId: string): RunningRequest | undefined {
    return this.#entries.get(requestId);
  }

  /**
   * Records that the upstream made a call for a request.
   *
   * @param entry Running request.
   * @param nowMs Monotonic time, in ms.
   */
  startCall(entry: RunningRequest, nowMs: number): void {
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
  endCall(entry: RunningRequest, nowMs: number): void {
    entry.openCallsCount--;
    if (entry.openCallsCount === 0) {
      entry.nestedMs += nowMs - entry.nestedSinceMs;
    }
  }

  /**
   * Removes a request that has ended.
   *
   * @param entry Entry that {@link RunningRequests.add} returned.
   */
  remove(entry: RunningRequest): void {
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
  entry: RunningRequest | undefined,
  nowMs: number,
): number {
  if (entry === undefined) {
    return 0;
  }
  const openMs = entry.openCallsCount > 0 ? nowMs - entry.nestedSinceMs : 0;
  return entry.nestedMs + openMs;
}
