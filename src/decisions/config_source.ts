/** Interface through which the data path reads the configuration in force. */
import type { Tables } from "../schemas/tables_schema.ts";
import type { RouteMatcher } from "./routing/route_matcher.ts";

/** One accepted configuration. */
export type ActiveConfig = {
  /** Increases with each accepted pair of tables. */
  readonly generation: number;
  /** Digest of the tables, hex. */
  readonly digest: string;
  readonly tables: Tables;
  readonly matcher: RouteMatcher;
};

/** Source of the configuration in force. */
export interface ConfigSource {
  /** Returns the configuration in force; undefined before the first one. */
  current(): ActiveConfig | undefined;
}
