import assert from "node:assert/strict";
import { test } from "node:test";
import { machineLimits, parseDescriptorsLimit } from "./machine_limits.ts";

const LIMITS_TEXT =
  `Limit                     Soft Limit           Hard Limit     Units
Max cpu time              unlimited            unlimited      seconds
Max open files            4096                 524288         files
`;

// Guards against a bound on connections that the process cannot open.
test("the limit in force is read, not the hard one", () => {
  assert.equal(parseDescriptorsLimit(LIMITS_TEXT), 4_096);
});

test("a process without a limit on open files states none", () => {
  const text = LIMITS_TEXT.replace("4096", "unlimited");
  assert.equal(parseDescriptorsLimit(text), undefined);
});

test("limits in the settings precede those of the process", () => {
  const limits = { memoryMaxBytes: 200_000_000, descriptorsMaxCount: 350 };
  assert.deepEqual(machineLimits(limits), limits);
});

// Guards against bounds that follow from more memory than there is.
test("without settings the memory is at most 1 GB", () => {
  const { memoryMaxBytes } = machineLimits({});
  assert.ok(memoryMaxBytes !== undefined && memoryMaxBytes <= 1_000_000_000);
});
