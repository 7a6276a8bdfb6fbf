/** Shapes of the most frequent messages, which are not spelled out in them. */
import type { z } from "zod";
import {
  compareAnswerSchema,
  compareRequestSchema,
  configHeadSchema,
} from "../schemas/config_schema.ts";
import {
  memberUpdateSchema,
  memberVersionSchema,
  probeAnswerSchema,
  probeRequestSchema,
  pushRequestSchema,
} from "../schemas/member_schema.ts";
import {
  envelopeHeadSchema,
  envelopeSchema,
  peerIdentitySchema,
} from "../schemas/peer_schema.ts";

function fieldsOf(
  schema: { readonly shape: Readonly<Record<string, z.ZodType>> },
  ...absent: readonly string[]
): string[] {
  return Object.keys(schema.shape).filter((field) => !absent.includes(field));
}

/**
 * Lists the fields of the records that a message names by number. Both sides
 * need the same list: a change of it or of one of the schemas needs a new
 * `ENVELOPE_VERSION`. Records of other shapes carry their field names.
 *
 * @returns Fields of each record, in the order of its schema.
 */
export function listKnownRecords(): string[][] {
  return [
    fieldsOf(envelopeSchema),
    fieldsOf(envelopeHeadSchema),
    fieldsOf(peerIdentitySchema),
    fieldsOf(memberVersionSchema),
    fieldsOf(probeRequestSchema),
    fieldsOf(probeAnswerSchema),
    fieldsOf(pushRequestSchema),
    fieldsOf(memberUpdateSchema, "suspectedBy"),
    fieldsOf(compareRequestSchema),
    fieldsOf(compareAnswerSchema),
    fieldsOf(configHeadSchema),
  ];
}
