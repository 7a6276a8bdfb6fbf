/**
 * Upstream stand-in as a program. The argument is its settings as JSON with
 * comments. It prints one JSON line with its ports when it listens.
 *
 * Usage: `node dist/stand_ins/upstream.js '{"pool":"plates"}'`
 */
import process from "node:process";
import { parseJsonc } from "../src/schemas/parse_jsonc.ts";
import { UpstreamServer } from "./upstream_server.ts";
import { upstreamSettingsSchema } from "./upstream_settings.ts";

const settings = parseJsonc(process.argv[2] ?? "", upstreamSettingsSchema, {
  source: "settings",
});
const upstream = new UpstreamServer(settings);
console.log(JSON.stringify(await upstream.start()));

process.once("SIGTERM", () => {
  upstream.stop();
  process.exit(0);
});
