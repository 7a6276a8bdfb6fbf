import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetConfig, FleetRoute } from "../../schemas/fleet_schema.ts";
import { FleetRoutes } from "./fleet_routes.ts";

function route(
  name: string,
  pathPrefix: string,
  targets: FleetRoute["targets"],
): FleetRoute {
  return {
    name,
    host: "votes.example",
    pathPrefix,
    idempotent: true,
    timeoutMs: 800,
    latencyGoalMs: 500,
    attemptsMax: 2,
    priority: 0,
    isPublic: false,
    targets,
  };
}

function config(routes: FleetRoute[]): FleetConfig {
  return {
    version: 1,
    routes,
    pools: [],
    limits: {
      headerMaxBytes: 1,
      bodyMaxBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

const ONE = [{ pool: "a", weight: 1 }];

test("the longest matching path prefix of the host wins, and the query is ignored", () => {
  const routes = new FleetRoutes(
    config([route("short", "/v/", ONE), route("long", "/v/w/", ONE)]),
  );
  assert.equal(routes.match("VOTES.example:8080", "/v/w/1")?.name, "long");
  assert.equal(routes.match("votes.example", "/v/?x=/v/w/")?.name, "short");
  assert.equal(routes.match("votes.example", "/v"), undefined);
  assert.equal(routes.match("other.example", "/v/1"), undefined);
});

test("pools get requests in proportion to their weights within 40 requests", () => {
  const split = route("split", "/s/", [
    { pool: "a", weight: 90 },
    { pool: "b", weight: 10 },
  ]);
  const routes = new FleetRoutes(config([split]));
  let countB = 0;
  for (let index = 0; index < 40; index++) {
    countB += routes.choosePool(split) === "b" ? 1 : 0;
  }
  assert.equal(countB, 4);
});
