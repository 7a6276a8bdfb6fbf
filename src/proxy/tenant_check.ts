/** Identifies the tenant of a request. */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { RelayError } from "../errors/relay_error.ts";
import type { RoutesTable } from "../schemas/tables_schema.ts";

/**
 * Tenant of callers when the table of routes defines none, of calls that the
 * local upstream makes outside any request, and of refusals that are sent
 * before the tenant is known.
 */
export const DEFAULT_TENANT = "default";

const TOKEN_CACHE_MAX_COUNT = 10_000;

function firstValue(value: string | string[] | undefined): string {
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

/** Checks tenants' tokens against the digests of the table of routes. */
export class TenantCheck {
  readonly #digests = new Map<string, string>();

  /**
   * Finds the tenant of a request.
   *
   * @param headers Headers of the request.
   * @param tenants Tenants of the table of routes.
   * @returns Tenant name; `default` when the table has no tenants.
   * @throws {RelayError} `tenant_denied` for an unknown tenant or a wrong token.
   */
  identify(
    headers: IncomingHttpHeaders,
    tenants: RoutesTable["tenants"],
  ): string {
    const name = firstValue(headers["goldcrest-tenant"]);
    if (Object.keys(tenants).length === 0) {
      return DEFAULT_TENANT;
    }
    const tenant = Object.hasOwn(tenants, name) ? tenants[name] : undefined;
    const token = firstValue(headers["goldcrest-tenant-token"]);
    if (tenant === undefined || this.#digest(token) !== tenant.tokenSha256) {
      throw new RelayError(
        "tenant_denied",
        `Tenant "${name}" is unknown or its token is wrong`,
      );
    }
    return name;
  }

  #digest(token: string): string {
    const cached = this.#digests.get(token);
    if (cached !== undefined) {
      return cached;
    }
    if (this.#digests.size >= TOKEN_CACHE_MAX_COUNT) {
      this.#digests.clear();
    }
    const digest = createHash("sha256").update(token).digest("hex");
    this.#digests.set(token, digest);
    return digest;
  }
}
