/**
 * The fleet's records in the store: changes of primary, suspicions of a primary and entry hosts. Each is
 * a small JSON document that every host reads.
 */
import {
  attemptId,
  backendServerId,
  type AttemptId,
  type BackendServerId,
} from '@nutmegcourse/shared'
import type { ServerPosition } from './receivedBound.js'
import { isFields, parse, readPosition, textOf } from './recordFields.js'

/** Which host is changing a service's primary, or which server became primary in the last change. */
export type ChangeRecord =
  /** Tied to the lease of its holder: it is removed when the holder dies or is cut off. */
  | { readonly phase: 'claimed'; readonly holder: string; readonly attempt: AttemptId }
  | { readonly phase: 'done'; readonly holder: string; readonly primary: BackendServerId }

/** A host's view of the primary of a service, recorded when some host gets no answer from it or knows none. */
export interface SuspicionRecord {
  /** Null if this host knows no primary. */
  readonly primary: BackendServerId | null
  /** True if this host reaches the primary, false if it gets no answer either. */
  readonly reaches: boolean
}

/** An entry host that accepts callers. */
export interface HostRecord {
  readonly zone: string
  readonly region: string
  /** The address at which it runs statements for other hosts; null if it does not. */
  readonly relay: string | null
  /** Its share of a processor; work is assigned in proportion to it. */
  readonly weight: number
}

/**
 * Marks a change of primary that has been claimed and not recorded as done. Unlike the claim it outlives its holder,
 * so that the next one knows that an order to promote may still take effect.
 */
export interface UnfinishedRecord {
  readonly holder: string
  readonly attempt: AttemptId
  /** The furthest position that its holder knew a replica to have received; null if it knew none. */
  readonly received: ServerPosition | null
}

const CHANGE_PREFIX = 'change/'
const UNFINISHED_PREFIX = 'unfinished/'
const MEMBERS_PREFIX = 'members/'
const SUSPICION_PREFIX = 'suspicion/'
/** Keys of all hosts' records begin with it. */
export const HOST_RECORDS_PREFIX = 'host/'

export const changeKey = (service: string): string => CHANGE_PREFIX + service
export const unfinishedKey = (service: string): string => UNFINISHED_PREFIX + service
export const membersKey = (service: string): string => MEMBERS_PREFIX + service
export const suspicionKey = (service: string, host: string): string =>
  `${SUSPICION_PREFIX}${keyPart(service)}/${keyPart(host)}`
export const hostKey = (host: string): string => HOST_RECORDS_PREFIX + host

export type RecordName =
  | { readonly kind: 'change'; readonly service: string }
  | { readonly kind: 'unfinished'; readonly service: string }
  | { readonly kind: 'members'; readonly service: string }
  | { readonly kind: 'suspicion'; readonly service: string; readonly host: string }
  | { readonly kind: 'host'; readonly host: string }

export function readRecordName(key: string): RecordName | null {
  if (key.startsWith(CHANGE_PREFIX)) {
    return { kind: 'change', service: key.slice(CHANGE_PREFIX.length) }
  }
  if (key.startsWith(UNFINISHED_PREFIX)) {
    return { kind: 'unfinished', service: key.slice(UNFINISHED_PREFIX.length) }
  }
  if (key.startsWith(MEMBERS_PREFIX)) {
    return { kind: 'members', service: key.slice(MEMBERS_PREFIX.length) }
  }
  if (key.startsWith(HOST_RECORDS_PREFIX))
    return { kind: 'host', host: key.slice(HOST_RECORDS_PREFIX.length) }
  if (!key.startsWith(SUSPICION_PREFIX)) return null
  const [service, host, ...others] = key.slice(SUSPICION_PREFIX.length).split('/')
  if (service === undefined || host === undefined || others.length > 0) return null
  return { kind: 'suspicion', service: readKeyPart(service), host: readKeyPart(host) }
}

/** Without a slash, which separates the parts of a key. */
const keyPart = (name: string): string => name.replace(/[%/]/g, encodeURIComponent)

const readKeyPart = (part: string): string => part.replace(/%2[5F]/g, decodeURIComponent)

export function readChangeRecord(text: string): ChangeRecord | null {
  const fields = parse(text)
  const holder = textOf(fields, 'holder')
  const attempt = textOf(fields, 'attempt')
  const primary = textOf(fields, 'primary')
  if (holder === null) return null
  if (fields.phase === 'claimed' && attempt !== null) {
    return { phase: 'claimed', holder, attempt: attemptId(attempt) }
  }
  if (fields.phase === 'done' && primary !== null) {
    return { phase: 'done', holder, primary: backendServerId(primary) }
  }
  return null
}

/** The position that an earlier holder left for the next one. */
export function readUnfinishedPosition(text: string): ServerPosition | null {
  const { received } = parse(text)
  if (!isFields(received)) return null
  const server = textOf(received, 'server')
  const at = readPosition(received.at)
  return server === null || at === null ? null : { server: backendServerId(server), at }
}

export function readSuspicionRecord(text: string): SuspicionRecord | null {
  const fields = parse(text)
  const primary = textOf(fields, 'primary')
  if (primary !== null) {
    return { primary: backendServerId(primary), reaches: fields.reaches === true }
  }
  return fields.primary === null ? { primary: null, reaches: false } : null
}

export function readHostRecord(text: string): HostRecord | null {
  const fields = parse(text)
  const zone = textOf(fields, 'zone')
  const region = textOf(fields, 'region')
  if (zone === null || region === null) return null
  const { weight } = fields
  const isWeight = typeof weight === 'number' && weight > 0
  return { zone, region, relay: textOf(fields, 'relay'), weight: isWeight ? weight : 1 }
}

export const writeRecord = (
  record: ChangeRecord | UnfinishedRecord | SuspicionRecord | HostRecord,
): string => JSON.stringify(record)
