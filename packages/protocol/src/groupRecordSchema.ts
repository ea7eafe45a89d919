/** Validates group records from the store or another agent. Unknown fields, which newer releases may add, are kept. */
import { z } from 'zod'
import {
  attemptId,
  backendServerId,
  databaseId,
  entryHostId,
  logOffset,
  term,
} from '@nutmegcourse/shared'
import type { GroupRecord } from './databaseGroup.js'

const termSchema = z.int().min(0).transform(term)
const serverSchema = z.string().transform(backendServerId)

const phaseSchema = z.discriminatedUnion('kind', [
  z.looseObject({ kind: z.literal('stable') }),
  z.looseObject({ kind: z.literal('moving'), target: serverSchema }),
  z.looseObject({ kind: z.literal('fencing'), target: serverSchema.nullable() }),
  z.looseObject({ kind: z.literal('promoting'), chosen: serverSchema }),
])

const termStartSchema = z.looseObject({
  term: termSchema,
  primary: serverSchema,
  startsAfter: z.looseObject({ term: termSchema, offset: z.int().min(0).transform(logOffset) }),
})

const groupRecordSchema: z.ZodType<GroupRecord> = z.looseObject({
  database: z.string().transform(databaseId),
  term: termSchema,
  primary: serverSchema.nullable(),
  phase: phaseSchema,
  coordinator: z.string().transform(entryHostId).nullable(),
  attempt: z.string().transform(attemptId).nullable(),
  termStarts: z.array(termStartSchema),
})

/** Null when the value is not a group record. */
export function readGroupRecord(value: unknown): GroupRecord | null {
  const checked = groupRecordSchema.safeParse(value)
  return checked.success ? checked.data : null
}
