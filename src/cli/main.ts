#!/usr/bin/env node
/** Entry of the tool `goldcrestrelay`. */
import process from "node:process";
import { runCli } from "./run_cli.ts";

// A reader of the output that ends early must not change the exit code, which
// tells whether an edit was applied.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") {
    throw error;
  }
});

process.exitCode = await runCli(process.argv.slice(2), process);
