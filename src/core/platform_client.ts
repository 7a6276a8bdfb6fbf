/** Interface of the platform's object API. */
import type { Stream } from "most";

/** One object of the platform. */
export type StoredObject = {
  readonly kind: string;
  readonly name: string;
  /** Increases with each write of the object. */
  readonly version: number;
  readonly value: unknown;
};

/** Result of a conditional write, when the platform answers. */
export type PutResult =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict" };

/** Condition of a write: the version to replace, or that no object exists. */
export type PutCondition = { expectedVersion: number | "absent" };

/**
 * A failed call. Its outcome is `unknown` when a write may have taken effect,
 * otherwise `not-applied`.
 */
export class PlatformError extends Error {
  readonly outcome: "not-applied" | "unknown";

  /**
   * @param outcome Whether a write may have taken effect.
   * @param message Message for logs, without a final period.
   */
  constructor(outcome: "not-applied" | "unknown", message: string) {
    super(message);
    this.name = "PlatformError";
    this.outcome = outcome;
  }
}

/** Object API with versions, conditional updates and watches. */
export interface PlatformClient {
  /** Reads one object; undefined when it does not exist. Throws {@link PlatformError}. */
  get(kind: string, name: string): Promise<StoredObject | undefined>;
  /** Lists the objects of a kind. Throws {@link PlatformError}. */
  list(kind: string): Promise<StoredObject[]>;
  /** Writes an object conditionally. Throws {@link PlatformError}. */
  put(
    object: Omit<StoredObject, "version">,
    condition: PutCondition,
  ): Promise<PutResult>;
  /**
   * Watches the objects of a kind. The stream reconnects with back-off and
   * emits the current state of each object after each connection.
   */
  watch(kind: string): Stream<StoredObject>;
}
