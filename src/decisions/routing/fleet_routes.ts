/** Finds the route of a request by host and path, and the pool that runs it. */
import type { FleetConfig, FleetRoute } from "../../schemas/fleet_schema.ts";
import { TenantKeys } from "../tenants/tenant_keys.ts";

type SplitState = {
  readonly credits: Float64Array;
  readonly weightSum: number;
};

/**
 * Compiled routes of one configuration. Among the routes of a host the longest
 * matching path prefix wins.
 *
 * @example
 * const routes = new FleetRoutes(config);
 * routes.match("votes.example", "/vote/7")?.name;
 */
export class FleetRoutes {
  readonly config: FleetConfig;
  /** Tenants by key; undefined when no request needs a key. */
  readonly tenants: TenantKeys | undefined;
  /** Least important priority of a route or tenant; 0 is the most important. */
  readonly lowestPriority: number;
  readonly #byHost = new Map<string, FleetRoute[]>();
  readonly #byName = new Map<string, FleetRoute>();
  readonly #splits = new Map<string, SplitState>();

  /**
   * @param config Checked configuration.
   */
  constructor(config: FleetConfig) {
    this.config = config;
    this.tenants = config.tenants && new TenantKeys(config.tenants);
    this.lowestPriority = [...config.routes, ...config.tenants ?? []].reduce(
      (lowest, { priority = 0 }) => Math.max(lowest, priority),
      0,
    );
    for (const route of config.routes) {
      const list = this.#byHost.get(route.host) ?? [];
      list.push(route);
      this.#byHost.set(route.host, list);
      this.#byName.set(route.name, route);
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param host Value of the Host header; its port is ignored.
   * @param path Path with query.
   * @returns The route; undefined without a match.
   */
  match(host: string, path: string): FleetRoute | undefined {
    // Most callers send the host as configured, which needs no normalization.
    const routes = this.#byHost.get(host) ??
      this.#byHost.get(host.toLowerCase().replace(/:\d+$/, ""));
    const query = path.indexOf("?");
    const plainPath = query < 0 ? path : path.slice(0, query);
    return routes?.find(({ pathPrefix }) => plainPath.startsWith(pathPrefix));
  }

  /**
   * Looks up a route by its name.
   *
   * @param name Name of the route.
   * @returns The route; undefined when the configuration has none.
   */
  route(name: string): FleetRoute | undefined {
    return this.#byName.get(name);
  }

  /**
   * Chooses the pool of one request by smooth weighted round robin, so that
   * the pools get their shares even over few requests.
   *
   * @param route Route of this configuration.
   * @returns Name of the pool.
   */
  choosePool(route: FleetRoute): string {
    const [first] = route.targets;
    if (route.targets.length === 1 && first !== undefined) {
      return first.pool;
    }
    const split = this.#splitOf(route);
    let best = 0;
    for (let index = 0; index < route.targets.length; index++) {
      split.credits[index]! += route.targets[index]!.weight;
      if (split.credits[index]! > split.credits[best]!) {
        best = index;
      }
    }
    split.credits[best]! -= split.weightSum;
    return route.targets[best]!.pool;
  }

  #splitOf(route: FleetRoute): SplitState {
    let split = this.#splits.get(route.name);
    if (split === undefined) {
      split = {
        credits: new Float64Array(route.targets.length),
        weightSum: route.targets.reduce((sum, { weight }) => sum + weight, 0),
      };
      this.#splits.set(route.name, split);
    }
    return split;
  }
}
