/** Finds and transfers the records in which two views differ. */
import type {
  MemberUpdate,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";
import {
  compareVersions,
  isLiveState,
  type MemberRegistry,
} from "./member_registry.ts";

/** An answer ends with the bucket that brings it to this number of records. */
const PAGE_UPDATES_COUNT = 200;

/**
 * Builds a request for the records in which a peer's view differs.
 *
 * @param registry Members known to this daemon.
 * @param sender Update that describes this daemon.
 * @param options Last bucket of the previous page; empty for the first page.
 * @returns Request.
 */
export function buildSyncRequest(
  registry: MemberRegistry,
  sender: MemberUpdate,
  options: { after: string },
): SyncRequest {
  return { sender, digests: registry.digests.list(), after: options.after };
}

/**
 * Builds the answer to a request: a page of records, made of whole buckets.
 *
 * @param registry Members known to this daemon.
 * @param self Update that describes this daemon.
 * @param request Request of a peer.
 * @returns Answer.
 */
export function buildSyncAnswer(
  registry: MemberRegistry,
  self: MemberUpdate,
  request: SyncRequest,
): SyncAnswer {
  const names = registry.digests.listDifferences(request.digests)
    .filter((name) => name > request.after);
  const rowsByName = registry.table.listBuckets(names);
  const updates: MemberUpdate[] = [];
  const buckets: string[] = [];
  for (const name of names) {
    buckets.push(name);
    for (const row of rowsByName.get(name) ?? []) {
      updates.push(registry.updateAt(row));
    }
    if (updates.length >= PAGE_UPDATES_COUNT) {
      break;
    }
  }
  const isLast = buckets.length === names.length;
  const next = isLast ? "" : buckets.at(-1) as string;
  return { self, buckets, updates, next };
}

/**
 * Lists this daemon's records that are newer than those in a peer's answer.
 * Lost members that the answer does not contain are left out, because the peer
 * may have removed them at the end of their retention.
 *
 * @param registry Members known to this daemon, before the answer is applied.
 * @param answer Answer of a peer.
 * @returns Updates for the peer.
 */
export function listNewerThan(
  registry: MemberRegistry,
  answer: SyncAnswer,
): MemberUpdate[] {
  const theirs = new Map(answer.updates.map((one) => [one.instanceId, one]));
  const rows = [...registry.table.listBuckets(answer.buckets).values()].flat();
  return rows
    .map((row) => registry.updateAt(row))
    .filter((own) => {
      const their = theirs.get(own.instanceId);
      return their === undefined
        ? isLiveState(own.state)
        : compareVersions(own, their) > 0;
    });
}

/**
 * Turns another daemon's `dead` into a suspicion when the member is live in
 * this daemon's view and belongs to its data centre. After a partition, each
 * side has declared the members of the other side dead; applying these deaths
 * would remove all members before they could refute them.
 *
 * @param registry Members known to this daemon.
 * @param update Update of a repair.
 * @param options Data centre of this daemon, and the peer that sent the update.
 * @returns Update to apply, and whether it replaces another daemon's `dead`.
 */
export function downgradeDeath(
  registry: MemberRegistry,
  update: MemberUpdate,
  options: { dataCentre: string; fromId: string },
): { update: MemberUpdate; claimedDead: boolean } {
  const own = registry.versionOf(update.instanceId);
  const isDowngraded = update.state === "dead" &&
    update.dataCentre === options.dataCentre &&
    own !== undefined && isLiveState(own.state);
  if (!isDowngraded) {
    return { update, claimedDead: false };
  }
  const isLeaving = own.state === "leaving" || own.state === "leavingSuspect";
  const state = isLeaving ? "leavingSuspect" : "suspect";
  const suspectedBy = options.fromId;
  return { update: { ...update, state, suspectedBy }, claimedDead: true };
}
