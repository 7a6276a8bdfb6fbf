/** Ledger of the keyed requests that this daemon ran. */

/** A recorded answer. */
export type RecordedAnswer = {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
};

/** What the ledger knows of a key. */
export type LedgerState =
  | { readonly kind: "running" }
  | { readonly kind: "complete"; readonly answer: RecordedAnswer }
  /** The outcome is not known, or the answer was too large to record. */
  | { readonly kind: "unknown"; readonly recordedStatus?: number };

/** A key in the ledger. */
export type LedgerEntry = {
  readonly tenant: string;
  readonly key: string;
  /** Time of the first send that the key carries, in ms since the epoch. */
  readonly createdEpochMs: number;
  /** Method, path and body length. */
  readonly requestDigest: string;
  readonly state: LedgerState;
};

/** Records keyed requests and their outcomes. */
export interface IdempotencyLedger {
  /** Finds a key of a tenant. */
  find(tenant: string, key: string): LedgerEntry | undefined;
  /** Records a key that is about to run. Returns false when the ledger is full. */
  reserve(entry: Omit<LedgerEntry, "state">): boolean;
  /** Records the outcome of a running key. */
  settle(
    entry: Omit<LedgerEntry, "state">,
    state: Exclude<LedgerState, { kind: "running" }>,
  ): void;
  /** Removes a running key whose request is proved not to have run. */
  forget(entry: Omit<LedgerEntry, "state">): void;
  /**
   * Removes entries that were created before a time and do not run, at the
   * latest one second after that.
   */
  evict(beforeEpochMs: number): void;
  /** Entries in the ledger. */
  readonly size: number;
}
