import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import process from "node:process";
import { text } from "node:stream/consumers";
import { test } from "node:test";

const SCRIPT = `
  import { LineWriter } from "./line_writer.js";
  import { openOutput } from "./open_output.js";
  const writer = new LineWriter(openOutput());
  const line = "x".repeat(1000) + "\\n";
  for (let index = 0; index < 3000; index++) writer.write(line);
  process.stderr.write(String(writer.droppedCount));
  process.exit(0);
`;

test("a pipe that is not read does not block the process", async () => {
  const child = spawn(
    process.execPath,
    ["--input-type=module", "--eval", SCRIPT],
    { cwd: new URL(".", import.meta.url), stdio: ["ignore", "pipe", "pipe"] },
  );
  const dropped = Number(await text(child.stderr));
  child.stdout.destroy();
  assert.ok(dropped > 1_000, `dropped ${dropped}`);
});
