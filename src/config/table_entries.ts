/** Conversion between a pair of tables and its entries. */
import type { TableEntry } from "../schemas/config_schema.ts";
import {
  poolsTableSchema,
  routesTableSchema,
  type Tables,
} from "../schemas/tables_schema.ts";

/** Entries by key. */
export type TableEntries = ReadonlyMap<string, TableEntry>;

/**
 * Returns the key of an entry, which is unique in a pair of tables.
 *
 * @param entry Section and name.
 * @returns Key, `SECTION/NAME`.
 *
 * @example
 * entryKey({ section: "pools", name: "logbook" }); // "pools/logbook"
 */
export function entryKey(entry: Pick<TableEntry, "section" | "name">): string {
  return `${entry.section}/${entry.name}`;
}

/**
 * Indexes entries by their key.
 *
 * @param entries Entries with distinct keys.
 * @returns Entries by key.
 */
export function indexEntries(entries: Iterable<TableEntry>): TableEntries {
  return new Map([...entries].map((entry) => [entryKey(entry), entry]));
}

function listSectionEntries(
  section: TableEntry["section"],
  values: Record<string, unknown>,
): TableEntry[] {
  return Object.entries(values).map(([name, value]) =>
    ({ section, name, value }) as TableEntry
  );
}

/**
 * Splits a pair of tables into entries.
 *
 * @param tables Pair of tables with defaults filled in.
 * @returns Entries by key.
 */
export function splitTables({ routes, pools }: Tables): TableEntries {
  return indexEntries([
    ...listSectionEntries("rules", { rules: routes.rules }),
    ...listSectionEntries("tenants", routes.tenants),
    ...listSectionEntries("branches", routes.branches),
    ...listSectionEntries("routes", routes.routes),
    ...listSectionEntries("pools", pools.pools),
  ]);
}

/**
 * Creates a section without a prototype, so that a lookup of a name such as
 * `constructor` finds no inherited property.
 */
function createSection(): Record<string, unknown> {
  return Object.create(null);
}

/**
 * Builds a pair of tables from its entries. The values are shared, not copied.
 *
 * @param entries Entries by key.
 * @returns Pair of tables.
 */
export function joinEntries(entries: TableEntries): Tables {
  const sections: Record<string, Record<string, unknown>> = {
    rules: createSection(),
    tenants: createSection(),
    branches: createSection(),
    routes: createSection(),
    pools: createSection(),
  };
  for (const { section, name, value } of entries.values()) {
    (sections[section] as Record<string, unknown>)[name] = value;
  }
  const { rules, tenants, branches, routes, pools } = sections;
  const centralRules = rules?.rules ?? routesTableSchema.shape.rules.parse({});
  return {
    routes: { rules: centralRules, tenants, branches, routes },
    pools: { pools },
  } as Tables;
}

/** Creates a pair of empty tables with the default central rules. */
export function emptyTables(): Tables {
  return {
    routes: routesTableSchema.parse({ routes: {} }),
    pools: poolsTableSchema.parse({ pools: {} }),
  };
}
