/**
 * Daemon program that runs a garbage collection on SIGUSR2, so that the
 * benchmark measures the memory in use without garbage.
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
process.on("SIGUSR2", () => collectGarbage());

await import("../../src/daemon/main.ts");
