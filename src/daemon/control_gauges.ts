/** Gauges of membership and configuration. */
import type { GaugeName, GaugeValues } from "../telemetry/metrics.ts";
import type { ControlStatus } from "./operator_view.ts";

/** Names of the gauges of membership and configuration. */
export type ControlGaugeName = Extract<
  GaugeName,
  | `goldcrest_config_${string}`
  | `goldcrest_members_${string}`
  | "goldcrest_leases_held"
>;

/**
 * Reads the gauges of membership and configuration.
 *
 * @param status Part of the status that these provide.
 * @returns Values by name.
 */
export function controlGauges(
  status: ControlStatus,
): Pick<GaugeValues, ControlGaugeName> {
  const { config, members, leases } = status;
  const countOf = (state: string) =>
    members.filter((member) => member.state === state).length;
  return {
    goldcrest_config_generation: config.generation,
    goldcrest_config_confirmed_age_ms: config.confirmedAgeMs,
    goldcrest_members_alive: countOf("alive"),
    goldcrest_members_suspect: countOf("suspect"),
    goldcrest_leases_held: leases.filter((lease) => lease.heldBySelf).length,
  };
}
