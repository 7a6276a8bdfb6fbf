import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import { PathLoad, type UpstreamPath } from "../link/upstream_path.ts";
import { PathTable } from "./path_table.ts";

const POOL = "plates";
const RUN_MS = 30;

function createPath(
  name: string,
  options: { isSuspect?: boolean; isStopping?: boolean; dataCentre?: string },
): UpstreamPath {
  const { isSuspect = false, isStopping = false, dataCentre = "a" } = options;
  const load = new PathLoad();
  load.update([0, RUN_MS, 0]);
  return {
    member: { name, dataCentre, pool: POOL, link: { host: "h", port: 1 } },
    state: {
      upstreamId: name,
      isServing: true,
      isStopping,
      limitCount: 10,
      isCold: false,
      busyRatio: 0,
      configVersion: 1,
      calls: [],
    },
    isSuspect,
    load,
    send: () => ({ cancel: () => {} }),
  };
}

function chosenNames(paths: readonly UpstreamPath[]): Set<string | undefined> {
  const table = new PathTable({
    ownDataCentre: "a",
    random: new SeededRandom(1),
  });
  paths.forEach((path) => table.add(path));
  const choose = () =>
    table.choose(POOL, {
      routeName: "r",
      remainingMs: 500,
      tried: new Set(),
    })?.member.name;
  return new Set(Array.from({ length: 50 }, choose));
}

// Requests to an instance that is cut off fail, although other upstreams serve.
test("a suspect or stopping upstream is chosen only when no other serves", () => {
  const cut = createPath("cut", { isSuspect: true });
  const stopping = createPath("stopping", { isStopping: true });
  const remote = createPath("remote", { dataCentre: "b" });
  assert.deepEqual(chosenNames([cut, stopping, remote]), new Set(["remote"]));
  assert.deepEqual(
    chosenNames([cut, stopping]),
    new Set(["cut", "stopping"]),
  );
});

test("no upstream is chosen when none serves", () => {
  assert.deepEqual(chosenNames([]), new Set([undefined]));
});
