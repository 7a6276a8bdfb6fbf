/** Rules and figures of the simulation of keyed requests. */

/** Rules that the simulation can leave out, to show what they prevent. */
export type KeyedSimulationRules = {
  /** The owner checks its ownership since the key's first send. */
  ownership: boolean;
  /** A daemon that was frozen or cut off runs no keys. */
  fence: boolean;
  /** The checks are repeated before a request is forwarded. */
  recheck: boolean;
};

/** Figures of a run. */
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
  readonly replayedCount: number;
};
