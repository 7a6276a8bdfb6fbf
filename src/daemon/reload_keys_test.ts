import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerKey } from "../schemas/settings_schema.ts";
import { JsonLogger } from "../telemetry/logger.ts";
import { reloadKeys } from "./reload_keys.ts";

test("re-read keys reach every holder, and no secret reaches the log", () => {
  const keys = [{ id: "k2", secret: "fedcba9876543210" }];
  const held: (readonly PeerKey[])[] = [];
  const lines: string[] = [];
  const holder = {
    replaceKeys: (given: readonly PeerKey[]) => held.push(given),
  };
  reloadKeys({
    readKeys: () => keys,
    holders: [holder, holder],
    log: new JsonLogger({ level: "info", write: (line) => lines.push(line) }),
  });
  assert.deepEqual(held, [keys, keys]);
  assert.match(lines.join(""), /"keyIds":"k2"/);
  assert.doesNotMatch(lines.join(""), /fedcba/);
});
