/** Address of the operator listener that a daemon announces to its peers. */
import type { Address } from "../schemas/common_schema.ts";
import type { MemberAttributes } from "../schemas/member_schema.ts";

const LOOPBACK_PATTERN = /^(127\.|::1$)/;
const UNSPECIFIED_HOSTS: readonly string[] = ["0.0.0.0", "::"];

/**
 * Returns the operator address that a member announces. A listener bound to
 * the unspecified address is announced with the host of the peer listener. A
 * loopback address is omitted unless the peer listener is on the loopback too:
 * other instances cannot reach it, and on their own machines the same address
 * may belong to another daemon.
 *
 * @param operator Bound address of the operator listener.
 * @param options Bound address of the peer listener.
 * @returns Host and port; an empty object when the address is omitted.
 *
 * @example
 * const peer = { host: "10.0.0.7", port: 9083 };
 * announcedOperatorAddress({ host: "0.0.0.0", port: 9084 }, { peer });
 * // { operatorHost: "10.0.0.7", operatorPort: 9084 }
 */
export function announcedOperatorAddress(
  operator: Address,
  { peer }: { peer: Address },
): Pick<MemberAttributes, "operatorHost" | "operatorPort"> {
  const { host, port } = operator;
  if (UNSPECIFIED_HOSTS.includes(host)) {
    return { operatorHost: peer.host, operatorPort: port };
  }
  const isUnreachable = LOOPBACK_PATTERN.test(host) &&
    !LOOPBACK_PATTERN.test(peer.host);
  return isUnreachable ? {} : { operatorHost: host, operatorPort: port };
}
