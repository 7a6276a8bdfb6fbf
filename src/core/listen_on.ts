/** Binds a server to an address. */
import type { AddressInfo, Server } from "node:net";
import type { Address } from "../schemas/common_schema.ts";

/**
 * Binds a server and resolves when it listens.
 *
 * @param server TCP or HTTP server.
 * @param address Address to bind; port 0 lets the system choose. `backlog` is
 *   the maximum length of the queue of pending connections.
 * @returns The bound address.
 * @throws When the address cannot be bound.
 */
export function listenOn(
  server: Server,
  address: Address & { backlog?: number },
): Promise<Address> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address, () => {
      server.removeListener("error", reject);
      const { port } = server.address() as AddressInfo;
      resolve({ host: address.host, port });
    });
  });
}
