/** Tables in Markdown, aligned as `deno fmt` aligns them. */

function escapeCell(text: string): string {
  return text.replaceAll("|", "\\|").replaceAll("\n", " ");
}

function formatRow(
  cells: readonly string[],
  widths: readonly number[],
): string {
  const padded = cells.map((cell, index) => cell.padEnd(widths[index] ?? 0));
  return `| ${padded.join(" | ")} |`;
}

/**
 * Formats a table.
 *
 * @param header Titles of the columns.
 * @param rows Cells of each row, as many as there are columns.
 * @returns Table without a trailing line break.
 *
 * @example
 * formatTable(["field", "unit"], [["`timeoutMs`", "ms"]]);
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const escaped = rows.map((row) => row.map(escapeCell));
  const widths = header.map((title, index) =>
    Math.max(3, title.length, ...escaped.map((row) => row[index]?.length ?? 0))
  );
  const delimiterRow = widths.map((width) => "-".repeat(width));
  return [header, delimiterRow, ...escaped]
    .map((row) => formatRow(row, widths))
    .join("\n");
}
