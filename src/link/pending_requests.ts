/** Requests on a link that have no result yet. */
import { ChurnMap } from "../core/churn_map.ts";
import type { ResultReceiver, UpstreamLoad } from "./upstream_channel.ts";

/** Removed keys that the map retains. A daemon has a map for each of its links. */
const REMOVED_MAX_COUNT = 128;

/** Tracks the receivers of results, and their number in the load of the link. */
export class PendingRequests {
  readonly #receivers = new ChurnMap<number, ResultReceiver>({
    removedMaxCount: REMOVED_MAX_COUNT,
  });
  readonly #load: UpstreamLoad;
  #nextExchangeId = 1;

  /**
   * @param load Load of the upstream as the sender sees it.
   */
  constructor(load: UpstreamLoad) {
    this.#load = load;
  }

  /** Number of requests without a result. */
  get count(): number {
    return this.#receivers.size;
  }

  /**
   * Adds a request that is being sent.
   *
   * @param receiver Receiver of its result.
   * @returns Number of the exchange on this link.
   */
  add(receiver: ResultReceiver): number {
    const exchangeId = this.#nextExchangeId++;
    this.#receivers.set(exchangeId, receiver);
    this.#load.pendingCount++;
    this.#load.sentSinceReportCount++;
    return exchangeId;
  }

  /**
   * Returns the receiver of a request without a result.
   *
   * @param exchangeId Number of the exchange.
   * @returns The receiver; undefined when the request was removed.
   */
  get(exchangeId: number): ResultReceiver | undefined {
    return this.#receivers.get(exchangeId);
  }

  /**
   * Removes a request that has got its result or is cancelled.
   *
   * @param exchangeId Number of the exchange.
   * @returns Its receiver; undefined when it was removed before.
   */
  remove(exchangeId: number): ResultReceiver | undefined {
    const receiver = this.#receivers.get(exchangeId);
    if (receiver !== undefined) {
      this.#receivers.delete(exchangeId);
      this.#load.pendingCount--;
    }
    return receiver;
  }

  /**
   * Fails all requests. They may have run, because the link was closed after
   * they were sent.
   */
  failAll(): void {
    const receivers = this.#receivers.values();
    this.#receivers.clear();
    this.#load.pendingCount = 0;
    for (const receiver of receivers) {
      receiver.onFailure({
        kind: "peer_failed",
        isNotRun: false,
        hasReached: true,
      });
    }
  }
}
