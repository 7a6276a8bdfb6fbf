/** Rules by which generations only increase and equal ones have equal content. */
import type {
  ConfigHead,
  ConfigStep,
  TableVersions,
} from "../schemas/config_schema.ts";

/** Relation of an offered configuration to the one in force. */
export type HeadRelation =
  /** The offer is newer. */
  | "newer"
  /** Both are the same. */
  | "same"
  /** The offer is older; a peer that offers it gets the head in force as answer. */
  | "older"
  /** Same generation with another digest; only a fault causes it. */
  | "conflicting";

/**
 * Compares an offered configuration with the one in force.
 *
 * @param own Head in force; undefined before the first one.
 * @param offered Head of a peer or of the platform.
 * @returns Relation of the offer to the head in force.
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
 * Returns whether a step leads from the configuration in force to a later one.
 *
 * @param own Head in force.
 * @param step Step of a peer or of the platform.
 * @returns True when the base has the generation and digest of the head in force
 * and the step leads to a higher generation.
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
