/** Advice to operators for each error kind. */
import type { ErrorKind } from "../errors/error_kinds.ts";

/** Advice by error kind. */
export const ERROR_ADVICE: Readonly<Record<ErrorKind, string>> = {
  bad_request: "Correct the caller",
  header_timeout: "Send the headers of a request without pauses",
  header_too_large: "Correct the caller; headers may take 16,384 bytes",
  body_too_large: "Raise the route's `bodyMaxBytes` or correct the caller",
  body_timeout: "Send the body of a request without long pauses",
  memory_short: "Look for callers with many large or unfinished bodies; see " +
    "OPERATIONS.md",
  chunks_too_small: "Send the body in larger chunks; see OPERATIONS.md",
  tenant_denied: "Compare the caller's token with the tenant's `tokenSha256`",
  credential_unknown: "Correct the caller's key, or add the key to its tenant",
  credential_unverifiable: "The daemon reaches neither the store nor a peer " +
    "that does; look at `goldcrest_fleet_currency_age_ms`",
  parent_not_running: "Expected when a request ends before its calls; " +
    "otherwise the caller must send its key",
  parent_unproven: "Have the upstream name the running request in the ids of " +
    "its calls; a caller must send its key",
  usage_capped: "Expected over the tenant's cap; raise `rate_per_s` or `burst`",
  no_route: "Add the route, or correct the caller's method or path",
  shed: "Expected under overload, least important class first; find the " +
    "slow service, then add upstreams",
  queue_full: "As for `shed`; a class is not shed early enough, or the queue " +
    "is short for bursts",
  queue_timeout: "As for `shed`",
  deadline_unmeetable: "The caller allows less time than the queue and the " +
    "service take; look at the queue wait",
  deadline_exceeded: "Look at the latency of the pool and of the services " +
    "behind it",
  no_upstream: "Start upstreams of the pool; check that they announce " +
    "themselves and that the pool's name is right",
  draining: "Expected while instances are replaced",
  upstream_refused: "The upstream sheds by itself; lower `slotsCount`",
  upstream_failed: "Look at the upstream's own log",
  peer_failed: "Look for a daemon that ended or was cut off",
  key_in_progress: "Expected when a caller repeats too early",
  key_outcome_unknown: "The caller must look whether its request took " +
    "effect, and must not repeat it under a new key blindly",
  key_conflict: "Correct the caller; it uses one key for two requests",
  key_invalid: "Correct the caller; keys are UUIDv7",
  key_home_unreachable: "A network partition; see partition.md",
  retries_exhausted: "Look at the failures of the pool's upstreams",
  hop_rejected: "The daemons' keys or clocks differ; compare `peers.keys`",
  not_ready: "The daemon found neither a peer nor the platform; see " +
    "platform_outage.md",
  internal: "A fault of the daemon; report it with the log line",
};
