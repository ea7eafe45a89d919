/** The operators' targets as YAML. A document is accepted only if all of it is valid. */
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { Targets } from '@nutmegcourse/protocol'
import { className, databaseId } from '@nutmegcourse/shared'
import { readYaml } from './readYaml.js'
import type { SettingsError } from './settingsError.js'

const MAX_FRESHNESS_MILLISECONDS = 24 * 60 * 60 * 1000
const MAX_LATENCY_MILLISECONDS = 10 * 60 * 1000
const MAX_CLASSES = 200

const nameText = z
  .string()
  .regex(
    /^[a-z][a-z0-9_]{0,62}$/,
    'a name has 1 to 63 characters of a-z, 0-9 and _, and starts with a letter',
  )

const classSchema = z
  .strictObject({
    name: nameText.transform(className),
    access: z.enum(['read', 'write']),
    idempotent: z.boolean().optional(),
    freshnessMilliseconds: z.int().min(0).max(MAX_FRESHNESS_MILLISECONDS).default(0),
    latencyMilliseconds: z.int().min(1).max(MAX_LATENCY_MILLISECONDS),
    replicaReadShare: z.number().min(0).max(1).default(0),
  })
  .refine(entry => entry.access === 'read' || entry.replicaReadShare === 0, {
    path: ['replicaReadShare'],
    error: 'must be 0: a write class has no reads that replicas could serve',
  })
  .transform(entry => ({ ...entry, idempotent: entry.idempotent ?? entry.access === 'read' }))

const defaultSchema = z.strictObject({
  user: z.string().min(1).exactOptional(),
  applicationName: z.string().min(1).exactOptional(),
  database: z.string().min(1).transform(databaseId).exactOptional(),
  class: nameText.transform(className),
})

const targetsSchema: z.ZodType<Targets> = z
  .strictObject({
    service: z.string().min(1),
    classes: z.array(classSchema).min(1).max(MAX_CLASSES),
    defaults: z.array(defaultSchema).default([]),
  })
  .superRefine((document, context) => {
    const names = document.classes.map(entry => entry.name)
    names.forEach((name, index) => {
      if (names.indexOf(name) === index) return
      context.addIssue({
        code: 'custom',
        path: ['classes', index, 'name'],
        message: 'stands twice',
      })
    })
    document.defaults.forEach((entry, index) => {
      if (names.includes(entry.class)) return
      const message = `no such class; there are: ${names.join(', ')}`
      context.addIssue({ code: 'custom', path: ['defaults', index, 'class'], message })
    })
  })

export function readTargets(text: string, file: string): Result<Targets, SettingsError> {
  return readYaml(text, file, targetsSchema)
}

/** Validates a document from the store or a peer; its line numbers have no meaning. */
export function checkTargets(value: unknown): Result<Targets, SettingsError> {
  return readYaml(JSON.stringify(value ?? null), '(store)', targetsSchema)
}
