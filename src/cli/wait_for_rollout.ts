/** Waits until the acceptor has accepted an edit and all daemons have applied it. */
import { setTimeout as delay } from "node:timers/promises";
import { readAccepted, readAcceptorStatus } from "../config/config_objects.ts";
import { compareVersions } from "../config/generation_rule.ts";
import { type PlatformClient, PlatformError } from "../core/platform_client.ts";
import type {
  ConfigHead,
  TableMistake,
  TableVersions,
} from "../schemas/config_schema.ts";
import {
  listDaemonUrls,
  readStatuses,
  type StatusResult,
} from "./daemon_client.ts";

/** How many daemons were queried, and how many members could not be queried. */
export type Coverage = {
  readonly count: number;
  /** Members whose operator listener is not known. */
  readonly unaskedCount: number;
};

/** State of the rollout of an edit. */
export type RolloutState =
  | { readonly kind: "waiting" }
  | { readonly kind: "refused"; readonly mistakes: TableMistake[] }
  | { readonly kind: "accepted"; readonly head: ConfigHead }
  | ({ readonly kind: "in-force"; readonly head: ConfigHead } & Coverage)
  | {
    readonly kind: "timeout";
    readonly head?: ConfigHead;
    readonly lagging: string[];
  };

/** Options of {@link waitForRollout}. */
export type RolloutOptions = {
  /** URLs of operator listeners; the members that they list are queried too. */
  daemonUrls: readonly string[];
  /**
   * Maximum wait for the acceptor and the daemons together, in ms. It is checked
   * once per poll, so the wait may be longer by one poll.
   */
  timeoutMs: number;
  /** Called with a line of text whenever the state or the counts change. */
  onProgress: (line: string) => void;
};

const POLL_MS = 250;
// A list of 26,000 members takes about 4 MB, so it is not read at each poll. It
// is read again because members join and leave during the wait.
const LIST_INTERVAL_MS = 2_000;

/**
 * Describes how a daemon lags behind a generation.
 *
 * @param result Status of the daemon, or the reason why it could not be read.
 * @param generation Generation that should be in force.
 * @returns Description; undefined when this generation or a later one is in
 * force.
 */
export function describeLag(
  result: StatusResult,
  generation: number,
): string | undefined {
  if (result.status === undefined) {
    return result.error ?? result.url;
  }
  const { instanceId, config } = result.status;
  return config.generation >= generation
    ? undefined
    : `${instanceId} at ${result.url}: generation ${config.generation}`;
}

async function readAcceptance(
  platform: PlatformClient,
  versions: TableVersions,
): Promise<RolloutState> {
  const accepted = await readAccepted(platform);
  const relation = compareVersions(accepted?.value.versions, versions);
  if (accepted !== undefined && relation !== "newer") {
    return { kind: "accepted", head: accepted.value.head };
  }
  const status = await readAcceptorStatus(platform);
  const isChecked = status !== undefined &&
    compareVersions(status.value.versions, versions) !== "newer";
  return isChecked && status.value.result === "invalid"
    ? { kind: "refused", mistakes: status.value.mistakes }
    : { kind: "waiting" };
}

/**
 * Reads whether the acceptor accepted or refused the edit; while the platform
 * fails, the state is `waiting`.
 */
async function pollAcceptance(
  platform: PlatformClient,
  versions: TableVersions,
): Promise<RolloutState> {
  try {
    return await readAcceptance(platform, versions);
  } catch (error) {
    if (error instanceof PlatformError) {
      return { kind: "waiting" };
    }
    throw error;
  }
}

/**
 * Counts members, neither dead nor left, that announce no operator listener and
 * that the operator did not name.
 */
function countUnasked(namedDaemons: readonly StatusResult[]): number {
  const namedIds = new Set(
    namedDaemons.map(({ status }) => status?.instanceId),
  );
  const unaskedIds = namedDaemons.flatMap(({ status }) => status?.members ?? [])
    .filter(({ state, operator, instanceId }) =>
      state !== "dead" && state !== "left" && operator === undefined &&
      !namedIds.has(instanceId)
    )
    .map(({ instanceId }) => instanceId);
  return new Set(unaskedIds).size;
}

/**
 * Describes a completed rollout.
 *
 * @param state Final state of the rollout.
 * @returns Lines of text, with the number of members that could not be queried.
 */
export function describeRollout(
  state: Extract<RolloutState, { kind: "in-force" }>,
): string[] {
  const { head, count, unaskedCount } = state;
  const line = `Generation ${head.generation} is in force in ${count} daemons`;
  return unaskedCount === 0
    ? [line]
    : [line, `${unaskedCount} members were not asked: name their --daemon`];
}

/** Daemons to query: those that the operator named and their members. */
type DaemonList = { readonly urls: readonly string[]; unaskedCount: number };

async function listDaemons(daemonUrls: readonly string[]): Promise<DaemonList> {
  const namedDaemons = await readStatuses(daemonUrls);
  return {
    urls: listDaemonUrls(namedDaemons),
    unaskedCount: countUnasked(namedDaemons),
  };
}

/**
 * Queries the daemons that are not in `upToDateUrls`. Adds those that have the
 * generation in force, and returns descriptions of the others.
 */
async function findLagging(
  urls: readonly string[],
  generation: number,
  upToDateUrls: Set<string>,
): Promise<string[]> {
  const pending = urls.filter((url) => !upToDateUrls.has(url));
  const results = await readStatuses(pending, { members: "none" });
  return results.flatMap((result) => {
    const lag = describeLag(result, generation);
    if (lag === undefined) {
      upToDateUrls.add(result.url);
    }
    return lag ?? [];
  });
}

async function waitForAcceptance(
  platform: PlatformClient,
  versions: TableVersions,
  deadlineMs: number,
): Promise<RolloutState> {
  while (performance.now() < deadlineMs) {
    const state = await pollAcceptance(platform, versions);
    if (state.kind !== "waiting") {
      return state;
    }
    await delay(POLL_MS);
  }
  return { kind: "timeout", lagging: ["No acceptor accepted the tables"] };
}

async function waitForDaemons(
  head: ConfigHead,
  options: RolloutOptions,
  deadlineMs: number,
): Promise<RolloutState> {
  const upToDateUrls = new Set<string>();
  let list = await listDaemons(options.daemonUrls);
  let listedMs = performance.now();
  let lastLaggingCount = -1;
  while (true) {
    const lagging = await findLagging(list.urls, head.generation, upToDateUrls);
    const isListOutdated = performance.now() - listedMs >= LIST_INTERVAL_MS;
    if (lagging.length === 0 || isListOutdated) {
      list = await listDaemons(options.daemonUrls);
      listedMs = performance.now();
    }
    const { urls, unaskedCount } = list;
    if (urls.every((url) => upToDateUrls.has(url))) {
      return { kind: "in-force", head, count: urls.length, unaskedCount };
    }
    if (lagging.length !== lastLaggingCount) {
      const count = urls.length;
      options.onProgress(`In force in ${count - lagging.length} of ${count}`);
      lastLaggingCount = lagging.length;
    }
    if (performance.now() >= deadlineMs) {
      return { kind: "timeout", head, lagging };
    }
    await delay(POLL_MS);
  }
}

/**
 * Waits until a configuration with these versions is in force in all daemons.
 *
 * @param platform Object API.
 * @param versions Versions of both tables after the edit.
 * @param options Daemons, timeout and callback for progress.
 * @returns `in-force`, `refused` with the mistakes that the acceptor found, or
 * `timeout` with descriptions of the daemons that lag.
 */
export async function waitForRollout(
  platform: PlatformClient,
  versions: TableVersions,
  options: RolloutOptions,
): Promise<RolloutState> {
  const deadlineMs = performance.now() + options.timeoutMs;
  const state = await waitForAcceptance(platform, versions, deadlineMs);
  if (state.kind !== "accepted") {
    return state;
  }
  options.onProgress(`Accepted as generation ${state.head.generation}`);
  return await waitForDaemons(state.head, options, deadlineMs);
}
