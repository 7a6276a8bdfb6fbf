import assert from "node:assert/strict";
import { test } from "node:test";
import type { PeerKey } from "../schemas/settings_schema.ts";
import { JsonLogger } from "../telemetry/logger.ts";
import { reloadKeys } from "./reload_keys.ts";

test("re-read keys are passed to every key holder, and no secret is logged", () => {
  const keys = [{ id: "k2", secret: "fedcba9876543210" }];
  const received: (readonly PeerKey[])[] = [];
  const lines: string[] = [];
  const holder = {
    replaceKeys: (newKeys: readonly PeerKey[]) => received.push(newKeys),
  };
  reloadKeys({
    readKeys: () => keys,
    holders: [holder, holder],
    log: new JsonLogger({ level: "info", write: (line) => lines.push(line) }),
  });
  assert.deepEqual(received, [keys, keys]);
  assert.match(lines.join(""), /"keyIds":"k2"/);
  assert.doesNotMatch(lines.join(""), /fedcba/);
});
