/**
 * What other agents, proxies and operators' tools send, any field of which may be missing or of another type. Unknown
 * fields of what is passed on, which newer releases may add, are kept.
 */
import { z } from 'zod'
import {
  DRAINS_KEY,
  TARGETS_KEY,
  readGroupRecord,
  type AgentExplainParams,
  type AgentExplainRoutingParams,
  type GossipItem,
  type HeldWrites,
  type Member,
  type PeerCompareParams,
  type PeerFetchParams,
  type PeerHeldWrites,
  type PeerHello,
  type PeerPingParams,
  type PeerProbeParams,
  type ProxyReport,
} from '@nutmegcourse/protocol'
import type { WatcherOpinion } from '@nutmegcourse/coordination'
import {
  attemptId,
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  incarnation,
  regionId,
  sessionId,
  term,
} from '@nutmegcourse/shared'
import { readDrains, readTargetsDocument } from './configurationStore.js'

const nameSchema = z.string().min(1)
const databaseSchema = nameSchema.transform(databaseId)
const hostSchema = nameSchema.transform(entryHostId)
const countSchema = z.int().min(0)

const placeFields = {
  zone: z.string().transform(availabilityZoneId),
  region: z.string().transform(regionId),
}

export const helloSchema: z.ZodType<PeerHello> = z.object({
  entryHost: hostSchema,
  ...placeFields,
  incarnation: countSchema.transform(incarnation),
})

export const pingSchema: z.ZodType<PeerPingParams> = z.object({ root: z.number() })

/** Its items are read one by one. */
export const newsSchema = z.object({ items: z.array(z.unknown()) })

export const compareSchema: z.ZodType<PeerCompareParams> = z.object({
  buckets: z.array(z.number()),
})

export const fetchSchema: z.ZodType<PeerFetchParams> = z.object({ keys: z.array(z.string()) })

export const probeSchema: z.ZodType<PeerProbeParams> = z.object({ subject: hostSchema })

export const opinionSchema: z.ZodType<WatcherOpinion> = z.object({
  database: databaseSchema,
  watcher: hostSchema,
  ...placeFields,
  about: nameSchema.transform(backendServerId),
  term: countSchema.transform(term),
  suspected: z.boolean(),
  sequence: countSchema,
})

const heldWritesFields = { database: databaseSchema, attempt: nameSchema.transform(attemptId) }

export const heldWritesSchema: z.ZodType<HeldWrites> = z.object(heldWritesFields)

export const peerHeldWritesSchema: z.ZodType<PeerHeldWrites> = z.object({
  ...heldWritesFields,
  host: hostSchema,
})

export const proxyReportSchema: z.ZodType<ProxyReport> = z.object({
  database: databaseSchema,
  backendServer: nameSchema.transform(backendServerId),
  health: z.enum(['reachable', 'unreachable']),
})

export const explainSchema: z.ZodType<AgentExplainParams> = z.object({ database: databaseSchema })

export const explainRoutingSchema: z.ZodType<AgentExplainRoutingParams> = z.discriminatedUnion(
  'kind',
  [
    z.object({ kind: z.literal('class'), name: nameSchema.transform(className) }),
    z.object({ kind: z.literal('session'), name: nameSchema.transform(sessionId) }),
  ],
)

const memberSchema: z.ZodType<Member> = z.looseObject({
  entryHost: hostSchema,
  ...placeFields,
  address: z.string(),
  port: countSchema.max(65_535),
  incarnation: countSchema.transform(incarnation),
  status: z.enum(['alive', 'failed', 'left']),
})

/** A document with a reader of its own, which says only whether it is readable. */
const documentSchema = <Document>(
  what: string,
  read: (value: unknown) => Document | null,
): z.ZodType<Document> =>
  z.unknown().transform((value, context) => {
    const document = read(value)
    if (document !== null) return document
    context.addIssue({ code: 'custom', message: `is not ${what}` })
    return z.NEVER
  })

export const gossipItemSchema: z.ZodType<GossipItem> = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('targets'),
    document: documentSchema('a targets document', value =>
      readTargetsDocument({ key: TARGETS_KEY, revision: 0, value }),
    ),
  }),
  z.looseObject({
    kind: z.literal('drains'),
    drains: documentSchema('a list of drains', value =>
      readDrains({ key: DRAINS_KEY, revision: 0, value }),
    ),
  }),
  z.looseObject({
    kind: z.literal('group'),
    record: documentSchema('a group record', readGroupRecord),
    revision: countSchema,
  }),
  z.looseObject({ kind: z.literal('member'), member: memberSchema }),
])
