/** Encodes the values of a schema; the field names are not sent. */
import { Packr } from "msgpackr";
import { z } from "zod";
import { hash32 } from "../core/hash.ts";
import { RejectedMessageError } from "./rejected_message_error.ts";

/**
 * Maximum number of lists of field names that msgpackr refers to by one byte.
 */
const STRUCTURES_MAX_COUNT = 32;

type Definition = {
  type: string;
  shape?: Record<string, z.ZodType>;
  element?: z.ZodType;
  innerType?: z.ZodType;
  valueType?: z.ZodType;
  options?: readonly z.ZodType[];
};

function getDefinition(schema: z.ZodType): Definition {
  return schema.def as unknown as Definition;
}

function listChildren(definition: Definition): z.ZodType[] {
  const { shape, element, innerType, valueType, options } = definition;
  return [
    ...Object.values(shape ?? {}),
    ...(options ?? []),
    ...[element, innerType, valueType].filter((child) => child !== undefined),
  ];
}

/**
 * Returns the lists of field names of an object: all fields, and only the
 * required ones if some are optional.
 */
function listFieldNames(shape: Record<string, z.ZodType>): string[][] {
  const all = Object.keys(shape);
  const required = all.filter((field) =>
    getDefinition(shape[field] as z.ZodType).type !== "optional"
  );
  return required.length === all.length ? [all] : [all, required];
}

/**
 * Lists the field names of the objects within a schema, in a fixed order.
 *
 * @param schema Schema of a message.
 * @returns Distinct lists of field names, at most 32.
 */
export function listStructures(schema: z.ZodType): string[][] {
  const structures = new Map<string, string[]>();
  const visited = new Set<z.ZodType>();
  const pending = [schema];
  for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
    if (visited.has(next)) {
      continue;
    }
    visited.add(next);
    const definition = getDefinition(next);
    for (const fields of listFieldNames(definition.shape ?? {})) {
      structures.set(fields.join(","), fields);
    }
    pending.push(...listChildren(definition));
  }
  structures.delete("");
  return [...structures.values()].slice(0, STRUCTURES_MAX_COUNT);
}

/**
 * Codec of one schema. Both sides derive the field names from the schema and
 * compare its fingerprint, so that the names are not sent. In a probe the names
 * took more than half of the bytes.
 *
 * @example
 * const codec = codecOf(probeRequestSchema);
 * codec.unpack(codec.pack({ digest: 1 }));
 */
export class BodyCodec<T extends z.ZodType> {
  /**
   * Hash of {@link listStructures}; messages with another fingerprint are
   * rejected.
   */
  readonly fingerprint: number;
  readonly #schema: T;
  readonly #packer: Packr;

  /**
   * @param schema Schema of the encoded values.
   */
  constructor(schema: T) {
    const structures = listStructures(schema);
    this.#schema = schema;
    this.fingerprint = hash32(JSON.stringify(structures));
    this.#packer = new Packr({
      useRecords: true,
      structures: structures as object[],
      maxSharedStructures: structures.length,
    });
  }

  /**
   * Checks and encodes a value.
   *
   * @param value Value of the schema.
   * @returns Packed value.
   * @throws {RejectedMessageError} When the value does not match the schema.
   */
  pack(value: z.infer<T>): Buffer {
    return this.#packer.pack(this.#check(value));
  }

  /**
   * Decodes and checks a value.
   *
   * @param bytes Packed value.
   * @returns The checked value.
   * @throws {RejectedMessageError} When the value cannot be decoded or does not
   *   match the schema.
   */
  unpack(bytes: Uint8Array): z.infer<T> {
    let value: unknown;
    try {
      value = this.#packer.unpack(bytes);
    } catch {
      throw new RejectedMessageError("malformed", "Message cannot be decoded");
    }
    return this.#check(value);
  }

  #check(value: unknown): z.infer<T> {
    const result = this.#schema.safeParse(value);
    if (result.success) {
      return result.data;
    }
    const [issue] = result.error.issues;
    const path = issue?.path.join(".") ?? "";
    throw new RejectedMessageError(
      "schema",
      `Message does not match its schema at "${path}": ${issue?.message}`,
    );
  }
}

const codecs = new WeakMap<z.ZodType, BodyCodec<z.ZodType>>();

/**
 * Returns the cached codec of a schema, and creates it on the first call.
 *
 * @param schema Schema of a message.
 * @returns Codec.
 */
export function codecOf<T extends z.ZodType>(schema: T): BodyCodec<T> {
  let codec = codecs.get(schema);
  if (codec === undefined) {
    codec = new BodyCodec<z.ZodType>(schema);
    codecs.set(schema, codec);
  }
  return codec as unknown as BodyCodec<T>;
}
