// Checks the imports of the sources under src/, except tests. A file may import
// only from its own folder and the folders that ALLOWED lists for it. Files in
// src/decisions/ may not import a transport package, and no file may import from
// the folder platform/ at the root of the repository.
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import process from "node:process";

const BELOW_DECISIONS = ["core", "errors", "schemas", "charts"];
const TRANSPORT_PACKAGES =
  /^(node:http|node:https|node:net|undici|@grpc\/grpc-js)$/;

/**
 * Folders that each layer may import from, besides itself. A folder without an
 * entry may import from all.
 */
const ALLOWED = {
  core: ["errors", "schemas"],
  errors: [],
  schemas: ["errors"],
  charts: ["core", "errors", "schemas"],
  decisions: BELOW_DECISIONS,
  telemetry: BELOW_DECISIONS,
  platform: [...BELOW_DECISIONS, "decisions", "telemetry"],
  peer: [...BELOW_DECISIONS, "decisions", "telemetry"],
  membership: [...BELOW_DECISIONS, "decisions", "telemetry"],
  config: [...BELOW_DECISIONS, "decisions", "telemetry"],
  reception: [...BELOW_DECISIONS, "decisions", "telemetry"],
  proxy: [...BELOW_DECISIONS, "decisions", "telemetry", "reception"],
  link: [...BELOW_DECISIONS, "decisions", "telemetry"],
  fleet: [...BELOW_DECISIONS, "decisions", "telemetry", "link", "reception"],
  operator: [...BELOW_DECISIONS, "decisions", "telemetry"],
  cli: [
    ...BELOW_DECISIONS,
    "decisions",
    "telemetry",
    "platform",
    "config",
  ],
};

function listSources(folder) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath, entry.name));
}

function listImports(text) {
  return [...text.matchAll(/(?:from|import)\s+"([^"]+)"/g)].map((m) => m[1]);
}

function checkImport(file, layer, specifier) {
  const allowed = ALLOWED[layer];
  if (layer === "decisions" && TRANSPORT_PACKAGES.test(specifier)) {
    return `${file}: decisions may not import "${specifier}"`;
  }
  if (!specifier.startsWith(".")) {
    return undefined;
  }
  const target = relative("src", resolve(dirname(file), specifier));
  if (target.startsWith("../platform")) {
    return `${file}: nothing under src may import from platform/`;
  }
  const targetLayer = target.split("/")[0];
  if (
    allowed === undefined || targetLayer === layer ||
    allowed.includes(targetLayer)
  ) {
    return undefined;
  }
  return `${file}: layer "${layer}" may not import "${targetLayer}"`;
}

const violations = listSources("src")
  .filter((file) => !file.endsWith("_test.ts"))
  .flatMap((file) => {
    const layer = relative("src", file).split("/")[0];
    const text = readFileSync(file, "utf8");
    return listImports(text)
      .map((specifier) => checkImport(file, layer, specifier))
      .filter((violation) => violation !== undefined);
  });

for (const violation of violations) {
  console.error(violation);
}
process.exit(violations.length === 0 ? 0 : 1);
