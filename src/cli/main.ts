#!/usr/bin/env node
/** Entry point of the command-line tool `goldcrestrelay`. */
import process from "node:process";
import { runCli } from "./run_cli.ts";

// A closed output pipe (EPIPE), as with `goldcrestrelay ... | head`, must not
// change the exit code, which shows whether an edit was applied.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") {
    throw error;
  }
});

process.exitCode = await runCli(process.argv.slice(2), process);
