/** Decides whether an acceptor accepts a pair of tables. */
import type {
  AcceptedRecord,
  ConfigHead,
  ConfigStep,
  StoredTable,
  TableMistake,
  TableVersions,
} from "../schemas/config_schema.ts";
import type { Versioned } from "./config_objects.ts";
import { compareVersions } from "./generation_rule.ts";
import { isStepSmall } from "./step_history.ts";
import { PairChecker } from "./pair_checker.ts";
import { computeDelta, reuseEntries } from "./table_delta.ts";
import { digestEntries } from "./table_digest.ts";
import { splitTables, type TableEntries } from "./table_entries.ts";

/** Both stored tables with their versions. */
export type StoredPair = {
  readonly routes: Versioned<StoredTable>;
  readonly pools: Versioned<StoredTable>;
};

/** Decision about a pair. */
export type AcceptDecision =
  /** The pair is accepted already, or one of its tables is older than accepted. */
  | { readonly kind: "notNewer" }
  | { readonly kind: "invalid"; readonly mistakes: TableMistake[] }
  | {
    readonly kind: "accept";
    readonly head: ConfigHead;
    readonly entries: TableEntries;
  };

/**
 * Lists the versions of the stored tables.
 *
 * @param pair Stored tables.
 * @returns Version of each table.
 */
export function pairVersions(pair: StoredPair): TableVersions {
  return { routes: pair.routes.version, pools: pair.pools.version };
}

/** Options of {@link decideAccept}. */
export type DecideAcceptOptions = {
  /** Checker that keeps parsed tables between decisions. */
  checker?: PairChecker;
  /** Entries of an earlier pair; equal entries are reused. */
  known?: TableEntries;
};

/**
 * Compares a pair of tables with the accepted configuration and validates it.
 *
 * @param pair Stored tables.
 * @param accepted Accepted configuration; undefined before the first one.
 * @param options Results of earlier decisions, which save processor time and do
 * not change the decision.
 * @returns `notNewer`, the mistakes of the pair, or the next generation.
 */
export function decideAccept(
  pair: StoredPair,
  accepted: AcceptedRecord | undefined,
  options: DecideAcceptOptions = {},
): AcceptDecision {
  const versions = pairVersions(pair);
  if (compareVersions(accepted?.versions, versions) !== "newer") {
    return { kind: "notNewer" };
  }
  const { checker = new PairChecker(), known = new Map() } = options;
  const checked = checker.check({
    routes: pair.routes.value.text,
    pools: pair.pools.value.text,
  });
  if (checked.kind === "invalid") {
    return checked;
  }
  const entries = reuseEntries(known, splitTables(checked.tables));
  const head = {
    generation: (accepted?.head.generation ?? 0) + 1,
    digest: digestEntries(entries),
  };
  return { kind: "accept", head, entries };
}

/**
 * Computes the step that is stored in the accepted object.
 *
 * @param base Configuration before, if its entries are available.
 * @param next Configuration after.
 * @param acceptedEpochMs Wall time of the acceptance, in ms since the epoch.
 * @returns Step; undefined without a base or when the step is too large for one
 * message.
 */
export function computeAcceptedStep(
  base: { head: ConfigHead; entries: TableEntries } | undefined,
  next: { head: ConfigHead; entries: TableEntries },
  acceptedEpochMs: number,
): ConfigStep | undefined {
  if (base === undefined) {
    return undefined;
  }
  const step: ConfigStep = {
    base: base.head,
    next: next.head,
    acceptedEpochMs,
    delta: computeDelta(base.entries, next.entries),
  };
  return isStepSmall(step) ? step : undefined;
}
