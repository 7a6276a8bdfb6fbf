/** Bytes that a process reads and writes, and its memory. */
import { readFileSync } from "node:fs";

const BYTES_PER_KB = 1_024;

function readField(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text);
  return Number(match?.[1] ?? 0);
}

/**
 * Reads the bytes that went through read and write calls of a process, which
 * for an idle daemon are those of its sockets and timers.
 *
 * @param pid Process id.
 * @returns Bytes since the start of the process.
 */
export function readIoBytes(
  pid: number,
): { readBytes: number; writtenBytes: number } {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    readBytes: readField(text, "rchar"),
    writtenBytes: readField(text, "wchar"),
  };
}

/**
 * Reads the resident memory of a process.
 *
 * @param pid Process id.
 * @returns Resident set, in bytes.
 */
export function readResidentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return readField(text, "VmRSS") * BYTES_PER_KB;
}
