/** Lists the fields of a schema with unit, default and bounds. */
import { z } from "zod";
import { nameSchema } from "../schemas/common_schema.ts";

/** A field of a file that operators write. */
export type SchemaField = {
  /** Path, with `NAME` for names that operators choose. */
  readonly path: string;
  readonly meaning: string;
  readonly unit: string;
  /** Default, `required` or `optional`. */
  readonly presence: string;
  readonly bounds: string;
};

type JsonSchema = z.core.JSONSchema.JSONSchema;
type FieldContext = {
  readonly path: string;
  readonly required: boolean;
  /** Default that the enclosing object gives the field. */
  readonly outerDefault?: unknown;
};

const UNITS: readonly (readonly [suffix: RegExp, unit: string])[] = [
  [/Ms(Min|Max)?$/, "ms"],
  [/Bytes$/, "bytes"],
  [/PerSMax$/, "per s"],
  [/Count$/, "count"],
  [/Ratio$/, "ratio"],
];

const NAME_PATTERN = z.toJSONSchema(nameSchema).pattern;

function findUnit(path: string): string {
  return UNITS.find(([suffix]) => suffix.test(path))?.[1] ?? "";
}

function formatValue(value: unknown): string {
  return `\`${JSON.stringify(value)}\``;
}

function describePresence(schema: JsonSchema, context: FieldContext): string {
  const value = schema.default ?? context.outerDefault;
  if (value !== undefined) {
    return formatValue(value);
  }
  return context.required ? "required" : "optional";
}

function describeBounds(schema: JsonSchema): string {
  const { enum: values, minimum, maximum, minLength, maxLength } = schema;
  if (values !== undefined) {
    return values.map(formatValue).join(", ");
  }
  if (minimum !== undefined || maximum !== undefined) {
    return `${minimum ?? ""} to ${maximum ?? ""}`;
  }
  if (schema.items !== undefined && schema.type === "array") {
    const item = describeBounds(schema.items as JsonSchema);
    return [`list`, item].filter(Boolean).join(" of ");
  }
  if (schema.pattern === NAME_PATTERN) {
    return "name";
  }
  const parts = [
    schema.type === "boolean" ? "`true`, `false`" : "",
    schema.anyOf !== undefined ? "IP address" : "",
    schema.format === "uri" ? "URL" : "",
    schema.pattern !== undefined ? `matches \`${schema.pattern}\`` : "",
    minLength !== undefined ? `at least ${minLength} characters` : "",
    maxLength !== undefined ? `at most ${maxLength} characters` : "",
  ];
  return parts.filter(Boolean).join("; ");
}

function listChildren(
  schema: JsonSchema,
  context: FieldContext,
): SchemaField[] {
  const prefix = context.path === "" ? "" : `${context.path}.`;
  const children = Object.entries(schema.properties ?? {});
  const fields = children.flatMap(([name, child]) =>
    listFieldWithDescendants(child as JsonSchema, {
      path: `${prefix}${name}`,
      required: schema.required?.includes(name) === true,
      outerDefault: (schema.default as Record<string, unknown>)?.[name],
    })
  );
  const { additionalProperties, items } = schema;
  if (typeof additionalProperties === "object") {
    const entryContext = { path: `${prefix}NAME`, required: false };
    return [...fields, ...listChildren(additionalProperties, entryContext)];
  }
  if (typeof items === "object" && !Array.isArray(items)) {
    const entryContext = { path: `${context.path}[]`, required: false };
    return [...fields, ...listChildren(items as JsonSchema, entryContext)];
  }
  return fields;
}

function listFieldWithDescendants(
  schema: JsonSchema,
  context: FieldContext,
): SchemaField[] {
  const children = listChildren(schema, context);
  if (children.length > 0 && schema.description === undefined) {
    return children;
  }
  const field = {
    path: context.path,
    meaning: schema.description ?? "",
    unit: findUnit(context.path),
    presence: describePresence(schema, context),
    bounds: describeBounds(schema),
  };
  return [field, ...children];
}

/**
 * Lists the fields of a schema in the order of the schema. An object without a
 * description is not listed itself, only its fields are.
 *
 * @param schema Schema of an object.
 * @returns Fields with paths, units, defaults and bounds.
 *
 * @example
 * listFields(poolsTableSchema).map((field) => field.path);
 */
export function listFields(schema: z.ZodType): SchemaField[] {
  const root = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
  return listChildren(root, { path: "", required: true });
}
