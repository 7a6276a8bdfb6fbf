/** Binds servers. */
import type { Server } from "node:net";
import type { Address } from "../schemas/common_schema.ts";

/**
 * Starts to listen.
 *
 * @param server TCP or HTTP server.
 * @param address Address to bind, and the length of its accept queue.
 * @returns Resolves when the address is bound.
 * @throws When the address cannot be bound.
 */
export function listenOn(
  server: Server,
  address: Address & { backlog?: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}
