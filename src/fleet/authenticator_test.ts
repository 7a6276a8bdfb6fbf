import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetRoutes } from "../decisions/routing/fleet_routes.ts";
import type { ForwardedRequest } from "../link/upstream_channel.ts";
import type {
  FleetConfig,
  FleetRoute,
  FleetTenant,
} from "../schemas/fleet_schema.ts";
import { Authenticator } from "./authenticator.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { ServedRequest } from "./served_request.ts";

const ROUTE = { name: "r", host: "r.example", pathPrefix: "/", priority: 3 };

function tenant(name: string, keys: string[], priority?: number): FleetTenant {
  return { name, keys, priority, ratePerS: 0, burstCount: 0 };
}

function createAuthenticator() {
  const refusals: string[] = [];
  const state = { routes: undefined as FleetRoutes | undefined, ageMs: 0 };
  const apply = (tenants: FleetTenant[]) => {
    const parentRoute = { ...ROUTE, name: "parent", priority: 1 };
    state.routes = new FleetRoutes(
      { routes: [ROUTE, parentRoute], tenants } as unknown as FleetConfig,
    );
  };
  const authenticator = new Authenticator({
    names: { tenant: "tenant-name" },
    config: state,
    revocationMaxMs: 5_000,
    currencyAgeMs: () => state.ageMs,
    onRefused: (kind) => refusals.push(kind),
  });
  const authenticate = (key?: string, parentHeaders?: string[]) =>
    authenticator.authenticate({
      route: ROUTE as FleetRoute,
      key,
      parent: parentHeaders && {
        request: {
          headers: parentHeaders,
          routeName: "parent",
        } as unknown as ForwardedRequest,
      } as ServedRequest,
      mayBeCall: false,
      hasCallId: false,
    });
  const recheck = (key: string, tenantName: string) =>
    authenticator.recheck({ key, tenantName } as RoutedRequest);
  return { authenticate, recheck, apply, state, refusals };
}

test("the priority of a tenant replaces that of the route, for its calls too", () => {
  const { authenticate, apply } = createAuthenticator();
  apply([tenant("amber", ["k-1"], 0), tenant("birch", ["k-2"])]);
  assert.deepEqual(authenticate("k-1"), { tenantName: "amber", priority: 0 });
  assert.deepEqual(authenticate("k-2"), { tenantName: "birch", priority: 3 });
  assert.deepEqual(
    authenticate(undefined, ["Tenant-Name", "amber"]),
    { tenantName: "amber", priority: 0 },
  );
  assert.deepEqual(
    authenticate(undefined, ["Tenant-Name", "birch"]),
    { tenantName: "birch", priority: 1 },
  );
  // The parent came over a public route.
  assert.deepEqual(
    authenticate(undefined, []),
    { tenantName: undefined, priority: 1 },
  );
});

// Guards against a request that waits while its key is withdrawn or moves, or
// while the machine is suspended, and is forwarded nevertheless.
test("after a wait a key must still belong to the tenant, and the configuration be current", () => {
  const { recheck, apply, state, refusals } = createAuthenticator();
  apply([tenant("amber", ["k-1"])]);
  assert.equal(recheck("k-1", "amber"), undefined);
  state.ageMs = 5_000;
  assert.equal(recheck("k-1", "amber"), "credential_unverifiable");
  state.ageMs = 0;
  apply([tenant("birch", ["k-1"])]);
  assert.equal(recheck("k-1", "amber"), "credential_unverifiable");
  apply([tenant("amber", [])]);
  assert.equal(recheck("k-1", "amber"), "credential_unknown");
  assert.equal(refusals.length, 3);
});
