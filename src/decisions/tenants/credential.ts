/** Decides what the credential of a request allows. */
import type { ErrorKind } from "../../errors/error_kinds.ts";
import type { FleetTenant } from "../../schemas/fleet_schema.ts";
import type { TenantKeys } from "./tenant_keys.ts";

/**
 * Time before the end of the revocation bound from which keys are not accepted.
 * It covers the resolution of the clocks and the time from the check until the
 * request is sent.
 */
const REVOCATION_MARGIN_MS = 100;
/**
 * Age of the currency up to which an unknown key is certainly not valid. All
 * connected daemons use a configuration 2.5 s after its acceptance, so with an
 * older currency the key may be in a configuration that others use already.
 */
const UNKNOWN_KEY_AGE_MAX_MS = 2_500;

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/**
 * Returns the key of an authorization header.
 *
 * @param authorization Value of the header, if the request has it.
 * @returns The key; undefined without one, also for another scheme.
 */
export function bearerKey(
  authorization: string | undefined,
): string | undefined {
  return authorization === undefined
    ? undefined
    : BEARER_PATTERN.exec(authorization)?.[1];
}

/** What this daemon knows of the currency of its configuration. */
export type KeyTrust = {
  /** Time since the configuration was surely the newest, in ms. */
  readonly currencyAgeMs: number;
  /** Bound of withdrawn keys, in ms; undefined when it is not enforced. */
  readonly revocationMaxMs: number | undefined;
};

/** A request whose credential is checked. */
export type CredentialRequest = KeyTrust & {
  readonly tenants: TenantKeys;
  readonly key: string | undefined;
  /** Whether its route needs no key. */
  readonly isPublic: boolean;
  /** Whether its id proves that a request at the local upstream makes it. */
  readonly isCall: boolean;
  /** Whether it may be a call although its id does not prove it. */
  readonly mayBeCall: boolean;
  /** Whether its id has the form of the id of a call. */
  readonly hasCallId: boolean;
};

/** Result of {@link decideCredential}. */
export type CredentialDecision =
  /** The request needs no key. */
  | { readonly kind: "public" }
  /** The request inherits the tenant of its parent. */
  | { readonly kind: "call" }
  | { readonly kind: "tenant"; readonly tenant: FleetTenant }
  | { readonly kind: "refused"; readonly errorKind: ErrorKind };

/**
 * Returns whether a key of the configuration in force may have been withdrawn
 * for longer than the bound allows.
 *
 * @param trust Currency of the configuration and bound.
 * @returns True when keys must not be accepted.
 */
export function isKeyDoubtful(
  { currencyAgeMs, revocationMaxMs }: KeyTrust,
): boolean {
  return revocationMaxMs !== undefined &&
    !(currencyAgeMs < revocationMaxMs - REVOCATION_MARGIN_MS);
}

/**
 * Decides whether a request may be forwarded, and for which tenant. A key on a
 * public route is ignored. Only a call that is proven inherits a tenant. A request
 * that may be a call gets no 401, since calls need no key.
 *
 * @param request Key, route, id and parent of the request, and the currency of
 *   the configuration.
 * @returns Decision; a refused request gets the answer of the error kind.
 */
export function decideCredential(
  request: CredentialRequest,
): CredentialDecision {
  const { tenants, key, isPublic, isCall } = request;
  if (key !== undefined && !isPublic) {
    return decideKey(tenants.findByKey(key), request);
  }
  if (key === undefined && isCall) {
    return { kind: "call" };
  }
  if (isPublic) {
    return { kind: "public" };
  }
  return { kind: "refused", errorKind: missingKeyKind(request) };
}

/** Error kind of a request without a key on a route that needs one. */
function missingKeyKind(
  { mayBeCall, hasCallId }: CredentialRequest,
): ErrorKind {
  if (hasCallId) {
    return "parent_not_running";
  }
  return mayBeCall ? "parent_unproven" : "credential_unknown";
}

function decideKey(
  tenant: FleetTenant | undefined,
  trust: KeyTrust,
): CredentialDecision {
  if (isKeyDoubtful(trust)) {
    return { kind: "refused", errorKind: "credential_unverifiable" };
  }
  if (tenant !== undefined) {
    return { kind: "tenant", tenant };
  }
  const isUnverifiable = trust.revocationMaxMs !== undefined &&
    trust.currencyAgeMs > UNKNOWN_KEY_AGE_MAX_MS;
  return {
    kind: "refused",
    errorKind: isUnverifiable
      ? "credential_unverifiable"
      : "credential_unknown",
  };
}
