/** Parts of the daemon that check keys and track the currency. */
import { SystemClock } from "../core/clock.ts";
import type { RandomSource } from "../core/random.ts";
import type { FleetSettings } from "../schemas/fleet_schema.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { Logger } from "../telemetry/logger.ts";
import { Authenticator } from "./authenticator.ts";
import type { ConfigFollower } from "./config_follower.ts";
import { type AskedPeer, CurrencyTracker } from "./currency_tracker.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import { FleetUsageCaps, type UsageCapMembers } from "./usage_caps.ts";

/** Options of {@link createTenantAccess}. */
export type TenantAccessOptions = {
  settings: FleetSettings;
  platform: FleetPlatform;
  config: ConfigFollower;
  /** Links to peers. */
  peers: () => Iterable<AskedPeer>;
  /** Known members. A function, because the directory is constructed later. */
  members: () => UsageCapMembers;
  /** Whether this daemon stops soon. */
  isStopping: () => boolean;
  random: RandomSource;
  /** Whether this daemon watches the store closely and reaches it. */
  isWatching: () => boolean;
  /** Called for each request that is refused because of its credential. */
  onRefused: (kind: ErrorKind) => void;
  log: Logger;
};

/** Parts that decide which requests of tenants are forwarded. */
export type TenantAccess = {
  readonly currency: CurrencyTracker;
  readonly authenticator: Authenticator;
  readonly usage: FleetUsageCaps;
};

/**
 * Creates the parts that decide which requests of tenants are forwarded.
 *
 * @param options Settings, platform, configuration and peers.
 * @returns Connected parts; `currency` is to be registered at the event loop and
 *   ticked.
 */
export function createTenantAccess(options: TenantAccessOptions): TenantAccess {
  const { settings, platform, config, onRefused } = options;
  const revocationMaxMs = settings.keyRevocationMaxMs;
  const currency = new CurrencyTracker({
    clock: new SystemClock(),
    config,
    configReads: platform.configReads,
    readConfig: platform.readConfig,
    revocationMaxMs,
    ownDataCentre: settings.dataCentre,
    peers: options.peers,
    isWatching: options.isWatching,
    log: options.log,
  });
  const authenticator = new Authenticator({
    names: platform.headers,
    config,
    revocationMaxMs,
    currencyAgeMs: () => currency.ageMs,
    onRefused,
  });
  const usage = new FleetUsageCaps({
    members: options.members,
    isStopping: options.isStopping,
    windowMs: settings.usageCapWindowMs,
    random: options.random,
    log: options.log,
  });
  return { currency, authenticator, usage };
}
