/** Rules and result of the simulation of keyed requests. */

/** Rules that the simulation can leave out, to show what they prevent. */
export type KeyedSimulationRules = {
  /**
   * The owner refuses a key that another instance may have owned since the key
   * was created.
   */
  ownership: boolean;
  /**
   * A daemon that was frozen or cut off runs no keyed requests until its peers
   * accept it again.
   */
  fence: boolean;
  /** Ownership and fence are checked again just before a request is forwarded. */
  recheck: boolean;
};

/** Counts of the keys, attempts and injected failures of a run. */
export type KeyedSimulationResult = {
  readonly keysCount: number;
  readonly attemptsCount: number;
  readonly killsCount: number;
  readonly freezesCount: number;
  readonly cutsCount: number;
  /** Keys with one effect. */
  readonly onceCount: number;
  /** Keys with more than one effect. */
  readonly repeatedCount: number;
  /** Attempts that were answered from the ledger. */
  readonly replayedCount: number;
};
