import assert from "node:assert/strict";
import { test } from "node:test";
import { ProgramGroup } from "./program_group.ts";

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

test("stop ends the processes of a group, even after a later program failed to start", async () => {
  const programs = new ProgramGroup();
  const platform = await programs.start("stand_ins/platform.js", []);
  await assert.rejects(
    programs.start("src/daemon/main.js", ["/does/not/exist"], { quiet: true }),
    /ended with exit code 2/,
  );
  assert.equal(isRunning(platform.pid), true);
  await programs.stop();
  assert.equal(isRunning(platform.pid), false);
});
