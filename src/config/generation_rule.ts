/** Rules that keep generations growing and equal generations equal. */
import type {
  ConfigHead,
  ConfigStep,
  TableVersions,
} from "../schemas/config_schema.ts";

/** Relation of an offered configuration to the own one. */
export type HeadRelation =
  /** The offer is newer. */
  | "newer"
  /** Both are the same. */
  | "same"
  /** The offer is older: the answer states the own head. */
  | "older"
  /** Same generation with another digest; only a fault produces it. */
  | "conflicting";

/**
 * Compares an offered configuration with the own one.
 *
 * @param own Head in force; undefined before the first one.
 * @param offered Head of a peer or of the platform.
 * @returns Relation of the offer to the own head.
 *
 * @example
 * compareHeads(undefined, offered); // "newer"
 */
export function compareHeads(
  own: ConfigHead | undefined,
  offered: ConfigHead,
): HeadRelation {
  if (own === undefined || offered.generation > own.generation) {
    return "newer";
  }
  if (offered.generation < own.generation) {
    return "older";
  }
  return offered.digest === own.digest ? "same" : "conflicting";
}

/**
 * Tells whether a step starts at the configuration in force.
 *
 * @param own Head in force.
 * @param step Step of a peer or of the platform.
 * @returns True when generation and digest of the base are the own ones.
 */
export function isStepUsable(
  own: ConfigHead | undefined,
  step: ConfigStep,
): boolean {
  return own !== undefined && own.generation === step.base.generation &&
    own.digest === step.base.digest &&
    step.next.generation > own.generation;
}

/** Relation of the tables' versions to the accepted ones. */
export type VersionsRelation = "newer" | "same" | "stale";

/**
 * Compares the versions that an acceptor read with the accepted ones. A pair
 * with any table older than accepted is stale: accepting it would revert an
 * edit that is already in force.
 *
 * @param accepted Accepted versions; undefined before the first acceptance.
 * @param read Versions that were read.
 * @returns Relation of the read versions to the accepted ones.
 */
export function compareVersions(
  accepted: TableVersions | undefined,
  read: TableVersions,
): VersionsRelation {
  if (accepted === undefined) {
    return "newer";
  }
  if (read.routes < accepted.routes || read.pools < accepted.pools) {
    return "stale";
  }
  const same = read.routes === accepted.routes && read.pools === accepted.pools;
  return same ? "same" : "newer";
}
