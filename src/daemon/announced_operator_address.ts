/** Operator listener as a daemon announces it. */
import type { Address } from "../schemas/common_schema.ts";
import type { MemberPlace } from "../schemas/member_schema.ts";

const LOOPBACK_PATTERN = /^(127\.|::1$)/;
const UNSPECIFIED_HOSTS: readonly string[] = ["0.0.0.0", "::"];

/**
 * Returns the part of a member's place that names its operator listener. A
 * listener at the unspecified address is reached at the host of the peer
 * listener. One at a loopback address cannot be reached from other instances,
 * where the same address would name another daemon, so it is left out unless
 * the peers too are on the loopback.
 *
 * @param operator Bound address of the operator listener.
 * @param options Bound address of the peer listener.
 * @returns Host and port, or nothing.
 *
 * @example
 * const peer = { host: "10.0.0.7", port: 9083 };
 * announcedOperator({ host: "0.0.0.0", port: 9084 }, { peer });
 * // { operatorHost: "10.0.0.7", operatorPort: 9084 }
 */
export function announcedOperatorAddress(
  operator: Address,
  { peer }: { peer: Address },
): Pick<MemberPlace, "operatorHost" | "operatorPort"> {
  const { host, port } = operator;
  if (UNSPECIFIED_HOSTS.includes(host)) {
    return { operatorHost: peer.host, operatorPort: port };
  }
  const isHidden = LOOPBACK_PATTERN.test(host) &&
    !LOOPBACK_PATTERN.test(peer.host);
  return isHidden ? {} : { operatorHost: host, operatorPort: port };
}
