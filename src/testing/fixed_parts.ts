/** Fixed configuration and directory for tests of the data path. */
import type { ActiveConfig, ConfigSource } from "../decisions/config_source.ts";
import { RouteMatcher } from "../decisions/route_matcher.ts";
import type {
  Endpoint,
  PeerStanding,
  UpstreamDirectory,
} from "../decisions/upstream_directory.ts";
import {
  poolsTableSchema,
  routesTableSchema,
  type Tables,
} from "../schemas/tables_schema.ts";

/** Configuration that a test sets. */
export class FixedConfig implements ConfigSource {
  #config: ActiveConfig;

  /**
   * @param tables Tables before schema defaults are filled in.
   */
  constructor(tables: { routes: unknown; pools: unknown }) {
    const checked: Tables = {
      routes: routesTableSchema.parse(tables.routes),
      pools: poolsTableSchema.parse(tables.pools),
    };
    this.#config = {
      generation: 1,
      digest: "fixed",
      tables: checked,
      matcher: new RouteMatcher(checked),
    };
  }

  /** @inheritdoc */
  current(): ActiveConfig {
    return this.#config;
  }
}

/** Directory whose endpoints a test sets. */
export class FixedDirectory implements UpstreamDirectory {
  readonly #endpoints: Endpoint[] = [];

  /**
   * Adds an endpoint.
   *
   * @param endpoint Endpoint to list.
   */
  add(endpoint: Endpoint): void {
    this.#endpoints.push(endpoint);
  }

  /** @inheritdoc */
  endpoints(pool: string): readonly Endpoint[] {
    return this.#endpoints.filter((endpoint) => endpoint.pool === pool);
  }

  /** @inheritdoc */
  changedMs(_pool: string, _dataCentre: string): number {
    return 0;
  }

  /** @inheritdoc */
  standing(): PeerStanding {
    return { knownPeersCount: 0, lastAckMs: 0, acceptedSinceMs: 0 };
  }
}
