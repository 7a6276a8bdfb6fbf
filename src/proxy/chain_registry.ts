/** Contexts of the requests that the own upstream is running. */
import type { RequestContext } from "./request_context.ts";

/** A running request and what happened to the calls that it made. */
export type ChainEntry = {
  readonly context: RequestContext;
  /** Whether a call that the upstream made for it failed for good. */
  downstreamFailed: boolean;
  /** Whether the upstream made calls for it. */
  calledDownstream: boolean;
};

/**
 * Finds the context of a call that the upstream makes, by the request id that
 * it passes on. Class, deadline and attempts cannot be forged this way.
 */
export class ChainRegistry {
  readonly #entries = new Map<string, ChainEntry>();

  /**
   * Records a request that is about to run on the upstream.
   *
   * @param context Context of the request.
   * @returns The entry, for {@link ChainRegistry.remove}.
   */
  add(context: RequestContext): ChainEntry {
    const entry = { context, downstreamFailed: false, calledDownstream: false };
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
