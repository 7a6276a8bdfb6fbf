/** Replaces the generated sections of a Markdown page. */

const SECTION_PATTERN =
  /(<!-- generated: ([a-z]+) -->\n)[\s\S]*?(\n<!-- end: \2 -->)/g;

/**
 * Regenerates all sections between `<!-- generated: NAME -->` and
 * `<!-- end: NAME -->`.
 *
 * @param page Text of the page.
 * @param sections Generators by name.
 * @returns Text of the page with current sections.
 * @throws {Error} When a marker names a section without a generator.
 */
export function fillSections(
  page: string,
  sections: Readonly<Record<string, () => string>>,
): string {
  return page.replace(
    SECTION_PATTERN,
    (_all, begin: string, name: string, end: string) => {
      const generate = sections[name];
      if (generate === undefined) {
        throw new Error(`Section "${name}" has no generator`);
      }
      return `${begin}\n${generate()}\n${end}`;
    },
  );
}
