/** Parses JSON with comments, checks it against a schema and locates mistakes. */
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { z } from "zod";
import { InputError, type InputMistake } from "../errors/input_error.ts";

type Position = { line: number; column: number };

function locateOffset(text: string, offset: number): Position {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

function createSyntaxMistake(
  text: string,
  source: string,
  error: ParseError,
): InputMistake {
  return {
    source,
    ...locateOffset(text, error.offset),
    path: "",
    message: `Invalid JSON: ${printParseErrorCode(error.error)}`,
  };
}

function findNearestNode(root: Node, path: PropertyKey[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length) as string[]);
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

/**
 * Returns the node where an issue is reported: for unknown keys, the first of
 * them.
 */
function findIssueNode(root: Node, issue: z.core.$ZodIssue): Node {
  if (issue.code !== "unrecognized_keys") {
    return findNearestNode(root, issue.path);
  }
  const key = issue.keys[0] ?? "";
  const value = findNearestNode(root, [...issue.path, key]);
  return value.parent ?? value;
}

/** Options of {@link parseJsonc}. */
export type ParseJsoncOptions = {
  /** File or table name for error messages. */
  source: string;
};

/**
 * Parses JSON with comments and checks it against a schema.
 *
 * @param text Text of the file.
 * @param schema Schema of the value.
 * @param options Name of the source for error messages.
 * @returns The checked value.
 * @throws {InputError} With file, line and column of each mistake.
 *
 * @example
 * parseJsonc(text, settingsSchema, { source: "daemon.jsonc" });
 */
export function parseJsonc<T extends z.ZodType>(
  text: string,
  schema: T,
  options: ParseJsoncOptions,
): z.infer<T> {
  const { source } = options;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || root === undefined) {
    const mistakes = errors.map((error) =>
      createSyntaxMistake(text, source, error)
    );
    throw new InputError(
      mistakes.length > 0
        ? mistakes
        : [{ source, line: 1, column: 1, path: "", message: "File is empty" }],
    );
  }
  const result = schema.safeParse(getNodeValue(root));
  if (result.success) {
    return result.data;
  }
  throw new InputError(result.error.issues.map((issue) => ({
    source,
    ...locateOffset(text, findIssueNode(root, issue).offset),
    path: issue.path.join("."),
    message: issue.message,
  })));
}
