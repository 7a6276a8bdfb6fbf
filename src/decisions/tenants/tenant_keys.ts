/** Finds the tenants of a configuration by their keys and names. */
import type { FleetTenant } from "../../schemas/fleet_schema.ts";

/**
 * Index of the tenants of one configuration. A key that several tenants list
 * belongs to the first of them.
 *
 * @example
 * const tenants = new TenantKeys(config.tenants);
 * tenants.findByKey("k-1")?.name;
 */
export class TenantKeys {
  readonly #byKey = new Map<string, FleetTenant>();
  readonly #byName = new Map<string, FleetTenant>();

  /**
   * @param tenants Tenants of the configuration.
   */
  constructor(tenants: readonly FleetTenant[]) {
    for (const tenant of tenants) {
      this.#byName.set(tenant.name, tenant);
      for (const key of tenant.keys) {
        if (!this.#byKey.has(key)) {
          this.#byKey.set(key, tenant);
        }
      }
    }
  }

  /**
   * Finds the tenant of a key.
   *
   * @param key Key that a caller sent.
   * @returns The tenant; undefined when no tenant has the key.
   */
  findByKey(key: string): FleetTenant | undefined {
    return this.#byKey.get(key);
  }

  /**
   * Returns the priority of a tenant's requests.
   *
   * @param tenantName Name of the tenant, if the request has one.
   * @param routePriority Priority of the route, for a tenant without its own.
   * @returns Priority; 0 is the most important.
   */
  priorityOf(tenantName: string | undefined, routePriority: number): number {
    return tenantName === undefined
      ? routePriority
      : this.#byName.get(tenantName)?.priority ?? routePriority;
  }
}
