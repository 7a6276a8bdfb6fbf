/** Decides when this daemon watches the store closely. */
import type { Logger } from "../telemetry/logger.ts";
import type { MemberDirectory, MemberStore } from "./member_directory.ts";

/**
 * Time after the start until which this daemon does not watch the store
 * closely. Its links to the candidates of the election are not up yet.
 */
const ELECTION_DELAY_MS = 2_000;
/** Options of {@link WatchElection}. */
export type WatchElectionOptions = {
  /** A function, because the directory is constructed later. */
  directory: () => Pick<MemberDirectory, "isElectedWatcher">;
  store: Pick<MemberStore, "isReachable" | "setCloseWatch">;
  log: Logger;
};

/** Applies the election among the members to the watches of the store. */
export class WatchElection {
  readonly #options: WatchElectionOptions;
  readonly #startedAtMs = performance.now();
  #isElected = false;

  /**
   * @param options Members, store and logger.
   */
  constructor(options: WatchElectionOptions) {
    this.#options = options;
  }

  /** Whether this daemon watches the store closely and reaches it. */
  get isWatching(): boolean {
    return this.#isElected && this.#options.store.isReachable;
  }

  /**
   * Decides again. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { directory, store, log } = this.#options;
    const isElected = nowMs - this.#startedAtMs >= ELECTION_DELAY_MS &&
      directory().isElectedWatcher;
    if (isElected === this.#isElected) {
      return;
    }
    this.#isElected = isElected;
    store.setCloseWatch(isElected);
    log.info("Store watch changed", { isClose: isElected });
  }
}
