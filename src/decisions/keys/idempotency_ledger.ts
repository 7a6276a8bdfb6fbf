/** Interface of the ledger of the keyed requests that this daemon ran. */

/** Recorded answer. */
export type RecordedAnswer = {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
};

/** State of a key in the ledger. */
export type LedgerState =
  | { readonly kind: "running" }
  | { readonly kind: "complete"; readonly answer: RecordedAnswer }
  /** The outcome is unknown, or the answer was too large or was dropped. */
  | { readonly kind: "unknown"; readonly recordedStatus?: number };

/** Entry of a key in the ledger. */
export type LedgerEntry = {
  readonly tenant: string;
  readonly key: string;
  /** Time of the first send, taken from the key, in ms since the epoch. */
  readonly createdEpochMs: number;
  /** Digest of method, path and body length. */
  readonly requestDigest: string;
  readonly state: LedgerState;
};

/** Records keyed requests and their outcomes. */
export interface IdempotencyLedger {
  /** Finds a key of a tenant. */
  find(tenant: string, key: string): LedgerEntry | undefined;
  /** Records a key that is about to run; returns false when there is no room. */
  reserve(entry: Omit<LedgerEntry, "state">): boolean;
  /** Records the outcome of a running key. */
  settle(
    entry: Omit<LedgerEntry, "state">,
    state: Exclude<LedgerState, { kind: "running" }>,
  ): void;
  /** Removes a running key whose request has certainly not run. */
  forget(entry: Omit<LedgerEntry, "state">): void;
  /**
   * Removes entries that are not running and whose key was created before a
   * time. An entry may stay up to one second longer.
   */
  evict(beforeEpochMs: number): void;
  /** Number of entries in the ledger. */
  readonly size: number;
}
