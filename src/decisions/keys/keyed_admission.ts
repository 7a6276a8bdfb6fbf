/** Decides whether the owner's daemon runs a keyed request. */
import type { ErrorKind } from "../../errors/error_kinds.ts";
import { parseIdempotencyKey } from "./idempotency_key.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import type {
  IdempotencyLedger,
  LedgerEntry,
  RecordedAnswer,
} from "./idempotency_ledger.ts";
import {
  chooseByRendezvous,
  homeDataCentre,
  type OwnerHistory,
} from "./key_owner.ts";
import { SelfFence } from "./self_fence.ts";
import type { PeerConnectivity } from "../selection/upstream_directory.ts";

/** A keyed request as the owner's daemon receives it. */
export type KeyedRequest = {
  readonly pool: string;
  readonly tenant: string;
  readonly key: string;
  /** Digest of method, path and body length. */
  readonly requestDigest: string;
};

/** Rules of the tables for keyed requests. */
export type KeyRules = {
  readonly keyRetentionMs: number;
  readonly clockSkewMaxMs: number;
};

/** State of this daemon on which the decision depends. */
export type KeyedContext = {
  readonly rules: KeyRules;
  readonly peerConnectivity: PeerConnectivity;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Time of the {@link KeyClock}, in ms since the epoch. */
  readonly nowEpochMs: number;
};

/** Reserved entry of the ledger. */
export type Reservation = Omit<LedgerEntry, "state">;

/** Decision on a keyed request. */
export type KeyedDecision =
  | { readonly kind: "run"; readonly reservation: Reservation }
  | { readonly kind: "replay"; readonly answer: RecordedAnswer }
  | {
    readonly kind: "refuse";
    readonly error: ErrorKind;
    readonly recordedStatus?: number;
  };

/** Options of {@link KeyedAdmission}. */
export type KeyedAdmissionOptions = {
  instanceId: string;
  dataCentre: string;
  /** Start of the daemon, in ms since the epoch. */
  startedEpochMs: number;
  /** Start of the daemon on the monotonic clock, in ms. */
  startedMs: number;
};

/**
 * Time without an answered probe, or between two checks of the fence, after
 * which keyed requests stop, in ms.
 */
export const SELF_FENCE_MS = 3_000;

const UNKNOWN = { kind: "refuse", error: "key_outcome_unknown" } as const;
const FENCED = { kind: "refuse", error: "key_home_unreachable" } as const;

/**
 * Wall clock that never goes back, so that a key that was evicted from the
 * ledger is always refused as too old afterwards.
 */
export class KeyClock {
  readonly #wallMs: () => number;
  #lastEpochMs = 0;

  /**
   * @param wallMs Reads the wall clock, in ms since the epoch.
   */
  constructor(wallMs: () => number) {
    this.#wallMs = wallMs;
  }

  /**
   * Reads the clock.
   *
   * @returns Time in ms since the epoch, never less than before.
   */
  nowEpochMs(): number {
    this.#lastEpochMs = Math.max(this.#lastEpochMs, this.#wallMs());
    return this.#lastEpochMs;
  }
}

/**
 * Runs the request of a key at most once: the ledger detects repeated requests
 * while this daemon owns the key, and a key whose request another daemon may
 * have run is refused.
 *
 * @example
 * const decision = keyed.begin(request, context);
 * if (decision.kind === "run") { forward(); }
 */
export class KeyedAdmission {
  readonly #history: OwnerHistory;
  readonly #ledger: IdempotencyLedger;
  readonly #options: KeyedAdmissionOptions;
  readonly #fence: SelfFence;

  /**
   * @param history Periods of owners.
   * @param ledger Ledger of this daemon.
   * @param options Identity and start of this daemon.
   */
  constructor(
    history: OwnerHistory,
    ledger: IdempotencyLedger,
    options: KeyedAdmissionOptions,
  ) {
    this.#history = history;
    this.#ledger = ledger;
    this.#options = options;
    this.#fence = new SelfFence({
      selfFenceMs: SELF_FENCE_MS,
      startedMs: options.startedMs,
    });
  }

  /**
   * Checks the fence; called at least once a second.
   *
   * @param connectivity Connectivity with the peers.
   * @param nowMs Monotonic time, in ms.
   * @returns True while no keyed request may run.
   */
  checkFence(connectivity: PeerConnectivity, nowMs: number): boolean {
    return this.#fence.check(connectivity, nowMs);
  }

  /**
   * Decides on a request and reserves its entry in the ledger when it may run.
   *
   * @param request Request with its key.
   * @param context Rules, connectivity and times.
   * @returns Run, a replay of the recorded answer, or a refusal.
   */
  begin(request: KeyedRequest, context: KeyedContext): KeyedDecision {
    const key = parseIdempotencyKey(request.key);
    const { rules, nowEpochMs } = context;
    if (
      key === undefined ||
      key.createdEpochMs > nowEpochMs + rules.clockSkewMaxMs
    ) {
      return { kind: "refuse", error: "key_invalid" };
    }
    const oldestEpochMs = nowEpochMs - rules.keyRetentionMs;
    this.#ledger.evict(oldestEpochMs);
    const known = this.#ledger.find(request.tenant, key.text);
    if (known !== undefined) {
      return decideByLedger(known, request);
    }
    if (key.createdEpochMs < oldestEpochMs) {
      return UNKNOWN;
    }
    return this.#refusal(request, key, context) ??
      this.#reserve(request, key);
  }

  /**
   * Checks the ownership again just before the request is forwarded, because
   * the request may have waited or the process may have been frozen.
   *
   * @param request Request that holds a reservation.
   * @param context Rules, connectivity and times.
   * @returns Error kind of a refusal; undefined when the request may run.
   */
  recheck(
    request: KeyedRequest,
    context: KeyedContext,
  ): ErrorKind | undefined {
    const key = parseIdempotencyKey(request.key) as IdempotencyKey;
    return this.#refusal(request, key, context)?.error;
  }

  #refusal(
    { pool }: KeyedRequest,
    key: IdempotencyKey,
    context: KeyedContext,
  ): { kind: "refuse"; error: ErrorKind } | undefined {
    if (this.#fence.check(context.peerConnectivity, context.nowMs)) {
      return FENCED;
    }
    const sinceEpochMs = key.createdEpochMs - context.rules.clockSkewMaxMs;
    return this.#ownsSince(key, { pool, sinceEpochMs, context })
      ? undefined
      : UNKNOWN;
  }

  #ownsSince(
    key: IdempotencyKey,
    period: {
      pool: string;
      sinceEpochMs: number;
      context: KeyedContext;
    },
  ): boolean {
    const { pool, sinceEpochMs, context } = period;
    const { dataCentre, instanceId, startedEpochMs } = this.#options;
    const ownedMs = context.nowMs - this.#fence.ownsSinceMs;
    if (
      startedEpochMs >= sinceEpochMs ||
      context.nowEpochMs - ownedMs >= sinceEpochMs
    ) {
      return false;
    }
    const lists = this.#history.lists(pool, dataCentre, sinceEpochMs);
    return lists.length > 0 &&
      lists.every((list) =>
        homeDataCentre(key, list.dataCentres) === dataCentre &&
        chooseByRendezvous(key.text, list.instanceIds) === instanceId
      );
  }

  #reserve(request: KeyedRequest, key: IdempotencyKey): KeyedDecision {
    const reservation = {
      tenant: request.tenant,
      key: key.text,
      createdEpochMs: key.createdEpochMs,
      requestDigest: request.requestDigest,
    };
    return this.#ledger.reserve(reservation)
      ? { kind: "run", reservation }
      : { kind: "refuse", error: "shed" };
  }
}

function decideByLedger(
  entry: LedgerEntry,
  request: KeyedRequest,
): KeyedDecision {
  const { state } = entry;
  if (entry.requestDigest !== request.requestDigest) {
    return { kind: "refuse", error: "key_conflict" };
  }
  switch (state.kind) {
    case "running":
      return { kind: "refuse", error: "key_in_progress" };
    case "complete":
      return { kind: "replay", answer: state.answer };
    case "unknown":
      return { ...UNKNOWN, recordedStatus: state.recordedStatus };
  }
}
