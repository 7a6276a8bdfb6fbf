/**
 * The daemon program, which collects its garbage on SIGUSR2, so that the
 * benchmark reads the memory in use and not the garbage of the moment.
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
process.on("SIGUSR2", () => collectGarbage());

await import("../../src/daemon/main.ts");
