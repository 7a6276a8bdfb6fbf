/** Waits until an edit is accepted and in force in the daemons. */
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
  type DaemonView,
  listMemberUrls,
  viewDaemons,
} from "./daemon_client.ts";

/** Daemons that were asked, and members that could not be. */
export type Coverage = {
  readonly count: number;
  /** Members whose operator listener no daemon names. */
  readonly unaskedCount: number;
};

/** How far the edit has come. */
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
  /** Operator listeners of daemons; their members are asked too. */
  daemonUrls: readonly string[];
  timeoutMs: number;
  /** Receives a line whenever something changed. */
  progress: (line: string) => void;
};

const POLL_MS = 250;
// A list of 26,000 members has some 4 MB; it is read again for members that
// ended or joined in the meantime.
const LIST_INTERVAL_MS = 2_000;

/**
 * Describes a daemon that lags behind a generation.
 *
 * @param view Daemon.
 * @param generation Generation that should be in force.
 * @returns Description; undefined when the daemon has it or a later one.
 */
export function describeLag(
  view: DaemonView,
  generation: number,
): string | undefined {
  if (view.status === undefined) {
    return view.error ?? view.url;
  }
  const { instanceId, config } = view.status;
  return config.generation >= generation
    ? undefined
    : `${instanceId} at ${view.url}: generation ${config.generation}`;
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
  const judged = status !== undefined &&
    compareVersions(status.value.versions, versions) !== "newer";
  return judged && status.value.result === "invalid"
    ? { kind: "refused", mistakes: status.value.mistakes }
    : { kind: "waiting" };
}

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

/** Counts live members that were not named and state no operator listener. */
function countUnasked(seeds: readonly DaemonView[]): number {
  const named = new Set(seeds.map(({ status }) => status?.instanceId));
  const unasked = seeds.flatMap(({ status }) => status?.members ?? [])
    .filter(({ state, operator, instanceId }) =>
      state !== "dead" && state !== "left" && operator === undefined &&
      !named.has(instanceId)
    )
    .map(({ instanceId }) => instanceId);
  return new Set(unasked).size;
}

/**
 * Describes where a configuration is in force.
 *
 * @param state Final state of a wait.
 * @returns Lines; members that could not be asked are stated.
 */
export function describeInForce(
  state: Extract<RolloutState, { kind: "in-force" }>,
): string[] {
  const { head, count, unaskedCount } = state;
  const line = `Generation ${head.generation} is in force in ${count} daemons`;
  return unaskedCount === 0
    ? [line]
    : [line, `${unaskedCount} members were not asked: name their --daemon`];
}

/** Daemons to ask, as the named ones list them. */
type Listing = { readonly urls: readonly string[]; unaskedCount: number };

async function listDaemons(daemonUrls: readonly string[]): Promise<Listing> {
  const seeds = await viewDaemons(daemonUrls);
  return { urls: listMemberUrls(seeds), unaskedCount: countUnasked(seeds) };
}

/** Asks the daemons that are not in `done`, and adds those that follow. */
async function askOpen(
  urls: readonly string[],
  generation: number,
  done: Set<string>,
): Promise<string[]> {
  const open = urls.filter((url) => !done.has(url));
  const views = await viewDaemons(open, { members: "none" });
  return views.flatMap((view) => {
    const lag = describeLag(view, generation);
    if (lag === undefined) {
      done.add(view.url);
    }
    return lag ?? [];
  });
}

async function awaitAcceptance(
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

async function awaitDaemons(
  head: ConfigHead,
  options: RolloutOptions,
  deadlineMs: number,
): Promise<RolloutState> {
  const done = new Set<string>();
  let listing = await listDaemons(options.daemonUrls);
  let listedMs = performance.now();
  let reported = -1;
  while (true) {
    const lagging = await askOpen(listing.urls, head.generation, done);
    const isDue = performance.now() - listedMs >= LIST_INTERVAL_MS;
    if (lagging.length === 0 || isDue) {
      listing = await listDaemons(options.daemonUrls);
      listedMs = performance.now();
    }
    const { urls, unaskedCount } = listing;
    if (urls.every((url) => done.has(url))) {
      return { kind: "in-force", head, count: urls.length, unaskedCount };
    }
    if (lagging.length !== reported) {
      const count = urls.length;
      options.progress(`In force in ${count - lagging.length} of ${count}`);
      reported = lagging.length;
    }
    if (performance.now() >= deadlineMs) {
      return { kind: "timeout", head, lagging };
    }
    await delay(POLL_MS);
  }
}

/**
 * Waits until the daemons have a configuration with these versions in force.
 *
 * @param platform Object API.
 * @param versions Versions of both tables after the edit.
 * @param options Daemons, timeout and receiver of progress.
 * @returns In force, refused by the acceptor, or timed out with the daemons
 * that lag.
 */
export async function waitForRollout(
  platform: PlatformClient,
  versions: TableVersions,
  options: RolloutOptions,
): Promise<RolloutState> {
  const deadlineMs = performance.now() + options.timeoutMs;
  const state = await awaitAcceptance(platform, versions, deadlineMs);
  if (state.kind !== "accepted") {
    return state;
  }
  options.progress(`Accepted as generation ${state.head.generation}`);
  return await awaitDaemons(state.head, options, deadlineMs);
}
