import assert from "node:assert/strict";
import { test } from "node:test";
import { sampleTables } from "../testing/config_harness.ts";
import { checkPair, checkStoredSize } from "./pair_checker.ts";

type Edit = (tables: { routes: Draft; pools: Draft }) => void;
// deno-lint-ignore no-explicit-any -- drafts break the schemas on purpose
type Draft = any;

function mistakesAfter(edit: Edit): string[] {
  const tables = structuredClone(sampleTables(1)) as Parameters<Edit>[0];
  edit(tables);
  const checked = checkPair({
    routes: JSON.stringify(tables.routes),
    pools: JSON.stringify(tables.pools),
  });
  return checked.kind === "valid"
    ? []
    : checked.mistakes.map((mistake) =>
      `${mistake.table} ${mistake.entry} ${mistake.field}: ${mistake.reason}`
    );
}

const BOUNDS = { classes: ["important"], timeoutMsMin: 5_000 };

/** Title, edit that makes one operator mistake, and the expected report. */
const CASES: [string, Edit, RegExp][] = [
  [
    "a missing pool",
    ({ routes }) => routes.routes.r0.pool = "gone",
    /^routes routes\.r0 pool: Pool "gone" does not exist/,
  ],
  [
    "a missing pool with the name of an inherited property",
    ({ routes }) => routes.routes.r0.pool = "constructor",
    /^routes routes\.r0 pool: Pool "constructor" does not exist/,
  ],
  [
    "a duplicate path match",
    ({ routes }) => routes.routes.r1 = routes.routes.r0,
    /^routes routes\.r1 match: Route "r0" already matches GET \/r0/,
  ],
  [
    "a class bound more than one step away",
    ({ routes }) => routes.routes.r0.branchBounds = { classes: ["critical"] },
    /^routes routes\.r0 branchBounds\.classes: Class "critical" is more/,
  ],
  [
    "a timeout bound that excludes the central timeout",
    ({ routes }) => routes.routes.r0.branchBounds = { timeoutMsMax: 5 },
    /^routes routes\.r0 branchBounds\.timeoutMsMax: Upper bound 5 is below/,
  ],
  [
    "a branch's class that the centre does not allow",
    ({ routes }) => {
      routes.routes.r0.branchBounds = BOUNDS;
      routes.branches = { thies: { routes: { r0: { class: "background" } } } };
    },
    /^routes branches\.thies routes\.r0\.class: The centre does not allow/,
  ],
  [
    "a branch's timeout outside the bounds",
    ({ routes }) => {
      routes.routes.r0.branchBounds = BOUNDS;
      routes.branches = { thies: { routes: { r0: { timeoutMs: 4_999 } } } };
    },
    /^routes branches\.thies routes\.r0\.timeoutMs: The centre allows 5000 to/,
  ],
  [
    "a branch's rule for an unknown route",
    ({ routes }) => routes.branches = { thies: { routes: { gone: {} } } },
    /^routes branches\.thies routes\.gone: Route "gone" does not exist/,
  ],
  [
    "a tenant of an unknown branch",
    ({ routes }) =>
      routes.tenants = { w: { branch: "gone", tokenSha256: "0".repeat(64) } },
    /^routes tenants\.w branch: Branch "gone" does not exist/,
  ],
  [
    "a number of callers that exceeds the connections",
    ({ pools }) => {
      pools.pools.logbook.callersMaxCount = 2_000;
    },
    /^pools pools\.logbook connectionsMaxCount: 2000 callers with 4 connections to each of 2 of 5 endpoints need 3200 connections, more than 700/,
  ],
  [
    "a data centre that is listed twice",
    ({ pools }) => pools.pools.logbook.dataCentres.push("dc-1"),
    /^pools pools\.logbook dataCentres: Data centre "dc-1" is listed twice/,
  ],
  [
    "a key retention no longer than a handover",
    ({ routes, pools }) => {
      routes.routes.r0.keys = "required";
      pools.pools.logbook.keyRetentionMs = 10_000;
    },
    /^routes routes\.r0 keys: Pool "logbook" keeps keys no longer/,
  ],
  [
    "an unknown field",
    ({ pools }) => pools.pools.logbook.slots = 3,
    /^pools pools\.logbook : Unrecognized key: "slots" \(line 1, column \d+\)/,
  ],
];

for (const [name, edit, expected] of CASES) {
  test(`${name} is reported with table, entry, field and reason`, () => {
    const mistakes = mistakesAfter(edit);
    assert.equal(mistakes.length, 1, mistakes.join("\n"));
    assert.match(mistakes[0] ?? "", expected);
  });
}

test("the sample pair itself is valid", () => {
  assert.deepEqual(mistakesAfter(() => {}), []);
});

test("a stored table over the platform's limit of 1,048,576 bytes is reported", () => {
  const stored = (length: number) => ({
    editId: "e",
    recentEditIds: ["e"],
    text: "x".repeat(length),
  });
  assert.deepEqual(checkStoredSize("routes", stored(1_000_000)), []);
  const [mistake] = checkStoredSize("routes", stored(1_048_576));
  assert.match(mistake?.reason ?? "", /more than the platform's limit/);
});
