/** Checks the keys of requests against the configuration in force. */
import {
  decideCredential,
  isKeyDoubtful,
} from "../decisions/tenants/credential.ts";
import type { TenantKeys } from "../decisions/tenants/tenant_keys.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ConfigFollower } from "./config_follower.ts";
import { findHeader, type HeaderNames } from "./header_names.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { ServedRequest } from "./served_request.ts";

/** Options of {@link Authenticator}. */
export type AuthenticatorOptions = {
  names: Pick<HeaderNames, "tenant">;
  config: Pick<ConfigFollower, "routes">;
  /** Bound of withdrawn keys, in ms; undefined when it is not enforced. */
  revocationMaxMs: number | undefined;
  /** Time since the configuration was surely the newest, in ms. */
  currencyAgeMs: () => number;
  /** Called for each request that is refused because of its credential. */
  onRefused: (kind: ErrorKind) => void;
};

/** A request whose credential is checked. */
export type AuthenticatedRequest = {
  route: FleetRoute;
  /** Key that the caller sent. */
  key: string | undefined;
  /** Request at the local upstream that its id names; undefined for others. */
  parent: ServedRequest | undefined;
  /** Whether it may be a call although it does not name its parent. */
  mayBeCall: boolean;
  /** Whether the id has the form of the id of a call. */
  hasCallId: boolean;
};

/** Tenant and rank of a request; `refusal` when it may not be forwarded. */
export type RequestAccess = {
  readonly tenantName?: string;
  readonly priority: number;
  readonly refusal?: ErrorKind;
};

/** Assigns requests to tenants, and refuses those without a valid key. */
export class Authenticator {
  readonly #options: AuthenticatorOptions;

  /**
   * @param options Configuration, its currency, and the bound of withdrawn keys.
   */
  constructor(options: AuthenticatorOptions) {
    this.#options = options;
  }

  /**
   * Decides whether a request may be forwarded, and for which tenant.
   *
   * @param request Route, key, id and parent of the request.
   * @returns Tenant and priority, or the kind of the refusal.
   */
  authenticate(request: AuthenticatedRequest): RequestAccess {
    const { route, key, parent, mayBeCall, hasCallId } = request;
    const tenants = this.#tenants;
    if (tenants === undefined) {
      return { priority: route.priority };
    }
    const decision = decideCredential({
      tenants,
      key,
      isPublic: route.isPublic,
      isCall: parent !== undefined,
      mayBeCall,
      hasCallId,
      ...this.#trust(),
    });
    switch (decision.kind) {
      case "tenant": {
        const { name, priority = route.priority } = decision.tenant;
        return { tenantName: name, priority };
      }
      case "call":
        return this.#inherit(tenants, route, parent as ServedRequest);
      case "public":
        return { priority: route.priority };
      default:
        this.#options.onRefused(decision.errorKind);
        return { priority: route.priority, refusal: decision.errorKind };
    }
  }

  /**
   * Checks the key of a request again after the request has waited. The key may
   * have been withdrawn or moved, and the process may have been paused.
   *
   * @param request Request that was authenticated.
   * @returns Kind of the refusal; undefined when it may be forwarded.
   */
  recheck({ key, tenantName }: RoutedRequest): ErrorKind | undefined {
    if (key === undefined) {
      return undefined;
    }
    const kind = this.#recheckKey(key, tenantName);
    if (kind !== undefined) {
      this.#options.onRefused(kind);
    }
    return kind;
  }

  get #tenants(): TenantKeys | undefined {
    return this.#options.config.routes?.tenants;
  }

  #trust() {
    const { currencyAgeMs, revocationMaxMs } = this.#options;
    return {
      currencyAgeMs: revocationMaxMs === undefined ? 0 : currencyAgeMs(),
      revocationMaxMs,
    };
  }

  #recheckKey(
    key: string,
    tenantName: string | undefined,
  ): ErrorKind | undefined {
    const tenants = this.#tenants;
    if (isKeyDoubtful(this.#trust())) {
      return "credential_unverifiable";
    }
    const tenant = tenants?.findByKey(key);
    if (tenants !== undefined && tenant === undefined) {
      return "credential_unknown";
    }
    // The cap of the former tenant was charged, so the caller has to send the
    // request again.
    return tenant?.name === tenantName ? undefined : "credential_unverifiable";
  }

  /**
   * Tenant and priority of the request that makes a call. Its tenant travels
   * with it as a header, so that the call keeps it when the tenant is removed.
   */
  #inherit(
    tenants: TenantKeys,
    route: FleetRoute,
    { request }: ServedRequest,
  ): RequestAccess {
    const tenantName = findHeader(request.headers, this.#options.names.tenant);
    const parentRoute = this.#options.config.routes?.route(request.routeName);
    return {
      tenantName,
      priority: tenants.priorityOf(
        tenantName,
        (parentRoute ?? route).priority,
      ),
    };
  }
}
