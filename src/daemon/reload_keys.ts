/** Change of the peer keys without a restart. */
import type { PeerKey } from "../schemas/settings_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";

/** A part that signs or verifies with the shared keys. */
export interface KeyHolder {
  /** Replaces the keys; the first signs, all verify. */
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
 * Re-reads the peer keys. The present keys stay in force when the file has a
 * mistake, since a daemon without keys loses all its peers.
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
