/**
 * Platform stand-in as a program. It prints one JSON line with its URL
 * when it listens.
 *
 * Usage: `node dist/stand_ins/platform.js [--port PORT] [--writes-per-s N] [--reads-per-s N]`
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { DEFAULT_LIMITS } from "./platform_limits.ts";
import { PlatformServer } from "./platform_server.ts";

const { values } = parseArgs({
  options: {
    port: { type: "string", default: "0" },
    "writes-per-s": {
      type: "string",
      default: String(DEFAULT_LIMITS.writesPerSMax),
    },
    "reads-per-s": {
      type: "string",
      default: String(DEFAULT_LIMITS.readsPerSMax),
    },
  },
});

const server = new PlatformServer({
  limits: {
    writesPerSMax: Number(values["writes-per-s"]),
    readsPerSMax: Number(values["reads-per-s"]),
  },
});
const port = await server.listen(Number(values.port));
console.log(JSON.stringify({ url: `http://127.0.0.1:${port}` }));

process.once("SIGTERM", () => server.close().then(() => process.exit(0)));
