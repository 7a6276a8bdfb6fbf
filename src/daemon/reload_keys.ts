/** Reloads the peer keys without a restart. */
import type { PeerKey } from "../schemas/settings_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";

/** Part that signs or verifies with the shared peer keys. */
export interface KeyHolder {
  /** Replaces the keys; the first one signs, every one verifies. */
  replaceKeys(keys: readonly PeerKey[]): void;
}

/** Parts of {@link reloadKeys}. */
export type ReloadKeysParts = {
  /** Reads the keys of the settings file. */
  readKeys: () => readonly PeerKey[];
  holders: readonly KeyHolder[];
  log: Logger;
};

/**
 * Re-reads the peer keys. The current keys stay in use when the file has a
 * mistake, since a daemon without keys would lose all its peers.
 *
 * @param parts Source of the keys and the parts that use them.
 */
export function reloadKeys(parts: ReloadKeysParts): void {
  const { log } = parts;
  try {
    const keys = parts.readKeys();
    for (const holder of parts.holders) {
      holder.replaceKeys(keys);
    }
    log.info("Peer keys were re-read", {
      keyIds: keys.map((key) => key.id).join(" "),
    });
  } catch (error) {
    log.error("Peer keys were not changed", errorFields(error));
  }
}
