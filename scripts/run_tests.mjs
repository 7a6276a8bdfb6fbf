// Runs the compiled tests with Node's test runner, a few files at a time, and
// skips exactly the tests that KNOWN-RED.txt lists. Arguments select the files
// whose path contains one of them; without arguments all files run.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const TEST_CONCURRENCY = 3;

function listTests(folder) {
  if (!existsSync(folder)) {
    return [];
  }
  return readdirSync(folder, { recursive: true })
    .map(String)
    .filter((name) => name.endsWith("_test.js"))
    .map((name) => join(folder, name));
}

/**
 * Reads the names of the tests that are known to fail, from the lines
 * `test: NAME`.
 */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  return readFileSync(KNOWN_RED_FILE, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

function escapePattern(text) {
  return text.replace(/[.*+?^${}()|[\]\\/]/g, "\\$&");
}

const files = ["dist/src", "dist/stand_ins", "dist/bench", "dist/platform"]
  .flatMap(listTests);
const knownRed = readKnownRed();
for (const name of knownRed) {
  console.log(`known red, skipped: ${name}`);
}
const skips = knownRed.length === 0 ? [] : [
  // Node.js also applies the pattern to the root test of each file, which is
  // named `<root>`; if that name matched, all tests of the file would run.
  `--test-name-pattern=/^(?!<root>$)(?!(?:${
    knownRed.map(escapePattern).join("|")
  })$)/`,
];
const filter = process.argv.slice(2);
const selected = filter.length === 0
  ? files
  : files.filter((file) => filter.some((part) => file.includes(part)));
const result = spawnSync(
  process.execPath,
  [
    "--test",
    `--test-concurrency=${TEST_CONCURRENCY}`,
    "--test-reporter=spec",
    ...skips,
    ...selected,
  ],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
