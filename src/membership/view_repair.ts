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

/** Records after which an answer ends with the present bucket. */
const PAGE_UPDATES_COUNT = 200;

/**
 * Builds the request for the records that differ from a peer's.
 *
 * @param registry Own view.
 * @param sender Statement about this daemon.
 * @param options Where the page starts; empty for the first page.
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
 * Answers a request with whole buckets, up to a page.
 *
 * @param registry Own view.
 * @param self Statement about this daemon.
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
 * Lists the own records that are newer than those in a peer's answer. Lost
 * members that the peer does not list are left out, since it may have forgotten
 * them.
 *
 * @param registry Own view, before the answer is applied.
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
 * Turns a death that another view declared into a suspicion when the member is
 * live in the own view and belongs to the own data centre. After a partition
 * both parts hold each other's members dead; applied as they are, the deaths
 * would remove all members before they could refute.
 *
 * @param registry Own view.
 * @param update Update of a repair.
 * @param options Own data centre, and the peer that sent the update.
 * @returns Update to apply, and whether it stands for a death.
 */
export function downgradeDeath(
  registry: MemberRegistry,
  update: MemberUpdate,
  options: { dataCentre: string; fromId: string },
): { update: MemberUpdate; claimedDead: boolean } {
  const own = registry.versionOf(update.instanceId);
  const isSoftened = update.state === "dead" &&
    update.dataCentre === options.dataCentre &&
    own !== undefined && isLiveState(own.state);
  if (!isSoftened) {
    return { update, claimedDead: false };
  }
  const isLeaving = own.state === "leaving" || own.state === "leavingSuspect";
  const state = isLeaving ? "leavingSuspect" : "suspect";
  const suspectedBy = options.fromId;
  return { update: { ...update, state, suspectedBy }, claimedDead: true };
}
