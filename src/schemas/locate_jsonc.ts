/** Finds the positions of fields in JSON with comments. */
import { findNodeAtLocation, type Node, parseTree } from "jsonc-parser";

/** Line and column, both from 1. */
export type JsoncPosition = { line: number; column: number };

function findNearestNode(root: Node, path: readonly string[]): Node {
  for (let length = path.length; length > 0; length--) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) {
      return node;
    }
  }
  return root;
}

/**
 * Returns the position of a field, or of the nearest enclosing one that exists.
 *
 * @param text JSON with comments, without syntax errors.
 * @param path Names from the root to the field.
 * @returns Position of the field's value.
 *
 * @example
 * locateJsonc('{"pools": {"logbook": {}}}', ["pools", "logbook"]); // { line: 1, column: 23 }
 */
export function locateJsonc(
  text: string,
  path: readonly string[],
): JsoncPosition {
  const root = parseTree(text, [], { allowTrailingComma: true });
  if (root === undefined) {
    return { line: 1, column: 1 };
  }
  const before = text.slice(0, findNearestNode(root, path).offset).split("\n");
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
