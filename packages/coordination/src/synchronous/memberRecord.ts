/**
 * The record of the servers that may hold acknowledged writes of a service, in the store. A host that starts knows from
 * it the live servers whose entries have lapsed, so that it does not take the listed ones for the whole group.
 */
import {
  availabilityZoneId,
  backendServerId,
  isPort,
  type BackendServerId,
  type LogPosition,
} from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import { isFields, parse, readPosition } from './recordFields.js'

export interface RecordedMember {
  readonly entry: BackendServerEntry
  /** Whether it has ended for good. */
  readonly hasEnded: boolean
  /** The position up to which it may hold acknowledged writes; null if that is unknown. */
  readonly holdsUpTo: LogPosition | null
}

export interface MemberRecord {
  /** The era of the store in which it was written; it says nothing of a store restored from a copy since. */
  readonly era: number
  readonly members: readonly RecordedMember[]
}

export type MemberChange =
  | 'none'
  /** The record lacks a member: a host that starts would not know it. */
  | 'lacksMember'
  /** A member has ended for good: a change of primary may wait for it, at a host that has missed it for less long. */
  | 'memberEnded'
  /** It names a server that holds nothing any more, or says less of one than is known. */
  | 'isOutdated'

/** What is to be changed in the record. */
export function compareMembers(
  recorded: MemberRecord | null,
  members: readonly RecordedMember[],
  era: number,
): MemberChange {
  const known = new Map(
    recorded?.era === era ? recorded.members.map(each => [each.entry.server, each]) : [],
  )
  let change: MemberChange = known.size === members.length ? 'none' : 'isOutdated'
  for (const member of members) {
    const before = known.get(member.entry.server)
    if (before === undefined || !isSameProcess(before.entry, member.entry)) return 'lacksMember'
    if (!before.hasEnded && member.hasEnded) change = 'memberEnded'
    else if (change === 'none' && saysLess(before, member)) change = 'isOutdated'
  }
  return change
}

const isSameProcess = (left: BackendServerEntry, right: BackendServerEntry): boolean =>
  left.startedAtUnixMilliseconds === right.startedAtUnixMilliseconds &&
  left.host === right.host &&
  left.port === right.port

const saysLess = (before: RecordedMember, member: RecordedMember): boolean =>
  before.hasEnded !== member.hasEnded || (before.holdsUpTo === null) !== (member.holdsUpTo === null)

export const writeMemberRecord = ({ era, members }: MemberRecord): string =>
  JSON.stringify({
    era,
    members: members.map(({ entry, hasEnded, holdsUpTo }) => ({
      server: entry.server,
      host: entry.host,
      port: entry.port,
      zone: entry.zone,
      startedAt: entry.startedAtUnixMilliseconds,
      hasEnded,
      holdsUpTo,
    })),
  })

/** Null for text that is not such a record; members that can not be read are left out. */
export function readMemberRecord(service: string, text: string): MemberRecord | null {
  const { era, members } = parse(text)
  if (typeof era !== 'number' || !Array.isArray(members)) return null
  return { era, members: members.flatMap((each: unknown) => readMember(service, each) ?? []) }
}

function readMember(service: string, value: unknown): RecordedMember | null {
  if (!isFields(value)) return null
  const { server, host, port, zone, startedAt, hasEnded, holdsUpTo } = value
  if (typeof server !== 'string' || typeof host !== 'string') return null
  if (!isPort(port) || typeof zone !== 'string') return null
  return {
    entry: entryOf(backendServerId(server), service, {
      host,
      port,
      zone: availabilityZoneId(zone),
      startedAtUnixMilliseconds: typeof startedAt === 'number' ? startedAt : null,
    }),
    hasEnded: hasEnded === true,
    holdsUpTo: readPosition(holdsUpTo),
  }
}

/** As which the server is known until the store lists it again. */
const entryOf = (
  server: BackendServerId,
  service: string,
  known: Pick<BackendServerEntry, 'host' | 'port' | 'zone' | 'startedAtUnixMilliseconds'>,
): BackendServerEntry => ({
  ...known,
  server,
  service,
  slots: 1,
  isLeaving: false,
  role: 'replica',
})
