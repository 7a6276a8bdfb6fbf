/**
 * Caller stand-in as a program. The argument is its settings as JSON with
 * comments. It prints one JSON line for each attempt and exits.
 *
 * Usage: `node dist/stand_ins/caller.js '{"urls":["http://127.0.0.1:8080"],...}'`
 */
import process from "node:process";
import { parseJsonc } from "../src/schemas/parse_jsonc.ts";
import { callerSettingsSchema, OpenLoopCaller } from "./open_loop_caller.ts";

const settings = parseJsonc(process.argv[2] ?? "", callerSettingsSchema, {
  source: "settings",
});
for (const record of await new OpenLoopCaller(settings).run()) {
  console.log(JSON.stringify(record));
}
