/** Configuration, directory and key owners that tests of the data path set. */
import type { ActiveConfig, ConfigSource } from "../decisions/config_source.ts";
import type { OwnerHistory, OwnerList } from "../decisions/keys/key_owner.ts";
import { RouteMatcher } from "../decisions/routing/route_matcher.ts";
import type {
  Endpoint,
  PeerConnectivity,
  UpstreamDirectory,
} from "../decisions/selection/upstream_directory.ts";
import {
  poolsTableSchema,
  routesTableSchema,
  type Tables,
} from "../schemas/tables_schema.ts";

/** Configuration that a test sets. */
export class StubConfig implements ConfigSource {
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

/** Directory whose endpoints and peer connectivity a test sets. */
export class StubDirectory implements UpstreamDirectory {
  #endpoints: Endpoint[] = [];
  // Keeps the array of each pool until the endpoints change, because the
  // selector computes its candidates again when it gets a different array.
  readonly #byPool = new Map<string, readonly Endpoint[]>();
  #peerConnectivity: PeerConnectivity = {
    knownPeersCount: 0,
    lastAckMs: 0,
    acceptedSinceMs: 0,
  };

  /**
   * Adds an endpoint.
   *
   * @param endpoint Endpoint to list.
   */
  add(endpoint: Endpoint): void {
    this.replace([...this.#endpoints, endpoint]);
  }

  /**
   * Replaces all endpoints.
   *
   * @param endpoints Endpoints to list.
   */
  replace(endpoints: readonly Endpoint[]): void {
    this.#endpoints = [...endpoints];
    this.#byPool.clear();
  }

  /**
   * Sets the connectivity of the daemon with its peers.
   *
   * @param connectivity Connectivity to report.
   */
  setPeerConnectivity(connectivity: PeerConnectivity): void {
    this.#peerConnectivity = connectivity;
  }

  /** @inheritdoc */
  endpoints(pool: string): readonly Endpoint[] {
    const known = this.#byPool.get(pool);
    if (known !== undefined) {
      return known;
    }
    const listed = this.#endpoints.filter((endpoint) => endpoint.pool === pool);
    this.#byPool.set(pool, listed);
    return listed;
  }

  /** @inheritdoc */
  changedMs(_pool: string, _dataCentre: string): number {
    return 0;
  }

  /** @inheritdoc */
  peerConnectivity(): PeerConnectivity {
    return this.#peerConnectivity;
  }
}

/** History of key owners that a test sets. */
export class StubOwners implements OwnerHistory {
  readonly #lists = new Map<string, OwnerList[]>();

  /**
   * Adds a period; it ends when the next one starts.
   *
   * @param pool Pool of the owners.
   * @param dataCentre Data centre of the owners.
   * @param list Owners of the period.
   */
  add(pool: string, dataCentre: string, list: OwnerList): void {
    const name = `${pool} ${dataCentre}`;
    this.#lists.set(name, [...(this.#lists.get(name) ?? []), list]);
  }

  /** @inheritdoc */
  lists(
    pool: string,
    dataCentre: string,
    fromEpochMs: number,
  ): readonly OwnerList[] {
    const all = this.#lists.get(`${pool} ${dataCentre}`) ?? [];
    const first = all.findLastIndex((list) => list.sinceEpochMs <= fromEpochMs);
    return first < 0 ? [] : all.slice(first);
  }
}
