/** Limits of the machine that a daemon runs on. */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";
import process from "node:process";
import type { MachineLimits } from "../decisions/memory/machine_bounds.ts";
import type { Settings } from "../schemas/settings_schema.ts";

/**
 * Memory that a daemon uses at most by default, because it shares its machine
 * with an upstream.
 */
const MEMORY_DEFAULT_MAX_BYTES = 1_000_000_000;
const LIMITS_FILE = "/proc/self/limits";

/**
 * Reads the limit on open files from the limits of a process.
 *
 * @param text Contents of `/proc/PID/limits`.
 * @returns Limit in force; undefined when there is none.
 */
export function parseDescriptorsLimit(text: string): number | undefined {
  const count = /^Max open files\s+(\d+)/m.exec(text)?.[1];
  return count === undefined ? undefined : Number(count);
}

function readDescriptorsLimit(): number | undefined {
  try {
    return parseDescriptorsLimit(readFileSync(LIMITS_FILE, "utf8"));
  } catch {
    // Only Linux has this file.
    return undefined;
  }
}

/** Memory of the machine, or of the container if that has less. */
function readMemoryBytes(): number {
  const constrainedBytes = process.constrainedMemory() || Infinity;
  return Math.min(totalmem(), constrainedBytes, MEMORY_DEFAULT_MAX_BYTES);
}

/**
 * Returns the limits in the settings, and those of the process for others.
 *
 * @param machine Limits in the settings.
 * @returns Limits of memory and descriptors.
 */
export function machineLimits(machine: Settings["machine"]): MachineLimits {
  return {
    memoryMaxBytes: machine.memoryMaxBytes ?? readMemoryBytes(),
    descriptorsMaxCount: machine.descriptorsMaxCount ?? readDescriptorsLimit(),
  };
}
