import { describe, it } from 'node:test'
import { expect } from 'earl'
import { availabilityZoneId, backendServerId, logPosition } from '@nutmegcourse/shared'
import {
  compareMembers,
  readMemberRecord,
  writeMemberRecord,
  type MemberChange,
  type MemberRecord,
  type RecordedMember,
} from '../../src/index.js'

const SERVICE = 'db-1'
const ERA = 2

const memberOf = (
  name: string,
  given: { startedAt?: number; hasEnded?: boolean; holdsUpTo?: number } = {},
): RecordedMember => ({
  entry: {
    server: backendServerId(name),
    service: SERVICE,
    host: '10.0.0.1',
    port: 5000,
    zone: availabilityZoneId('zone-1'),
    slots: 1,
    isLeaving: false,
    role: 'replica',
    startedAtUnixMilliseconds: given.startedAt ?? 1,
  },
  hasEnded: given.hasEnded ?? false,
  holdsUpTo: given.holdsUpTo === undefined ? null : logPosition(1, given.holdsUpTo),
})

const recordOf = (...members: RecordedMember[]): MemberRecord => ({ era: ERA, members })

interface ComparedCase {
  readonly name: string
  readonly recorded: MemberRecord | null
  readonly members: readonly RecordedMember[]
  readonly expected: MemberChange
}

const compared: readonly ComparedCase[] = [
  { name: 'no record', recorded: null, members: [memberOf('a')], expected: 'lacksMember' },
  {
    name: 'the same members',
    recorded: recordOf(memberOf('a'), memberOf('b')),
    members: [memberOf('b'), memberOf('a')],
    expected: 'none',
  },
  {
    name: 'a member that joined',
    recorded: recordOf(memberOf('a')),
    members: [memberOf('a'), memberOf('b')],
    expected: 'lacksMember',
  },
  {
    name: 'a member that started again',
    recorded: recordOf(memberOf('a')),
    members: [memberOf('a', { startedAt: 2 })],
    expected: 'lacksMember',
  },
  {
    name: 'a member that holds nothing any more',
    recorded: recordOf(memberOf('a'), memberOf('b')),
    members: [memberOf('a')],
    expected: 'isOutdated',
  },
  {
    name: 'a member that has ended',
    recorded: recordOf(memberOf('a')),
    members: [memberOf('a', { hasEnded: true })],
    expected: 'memberEnded',
  },
  {
    name: 'a member that has ended, beside one that holds nothing any more',
    recorded: recordOf(memberOf('b'), memberOf('a')),
    members: [memberOf('a', { hasEnded: true })],
    expected: 'memberEnded',
  },
  {
    name: 'a member that is back',
    recorded: recordOf(memberOf('a', { hasEnded: true })),
    members: [memberOf('a')],
    expected: 'isOutdated',
  },
  {
    name: 'the position up to which one holds writes became known',
    recorded: recordOf(memberOf('a', { hasEnded: true })),
    members: [memberOf('a', { hasEnded: true, holdsUpTo: 7 })],
    expected: 'isOutdated',
  },
  // Guards against hosts that write the record in turns, each with the position that it knows.
  {
    name: 'another position up to which one holds writes',
    recorded: recordOf(memberOf('a', { hasEnded: true, holdsUpTo: 7 })),
    members: [memberOf('a', { hasEnded: true, holdsUpTo: 8 })],
    expected: 'none',
  },
  // Guards against a restored store whose copy of the record counts as the present one.
  {
    name: 'a record from before the store was restored',
    recorded: { ...recordOf(memberOf('a')), era: ERA - 1 },
    members: [memberOf('a')],
    expected: 'lacksMember',
  },
]

describe('The record of a service’s members', () => {
  for (const { name, recorded, members, expected } of compared) {
    it(`is to be written or not: ${name}`, () => {
      expect(compareMembers(recorded, members, ERA)).toEqual(expected)
    })
  }

  it('is read as it was written', () => {
    const record = recordOf(memberOf('a'), memberOf('b', { hasEnded: true, holdsUpTo: 7 }))
    expect(readMemberRecord(SERVICE, writeMemberRecord(record))).toEqual(record)
  })

  const unreadable: readonly (readonly [string, string])[] = [
    ['no object', '[]'],
    ['no JSON', '{'],
    ['no era', '{"members":[]}'],
    ['no members', '{"era":1,"members":3}'],
  ]
  for (const [name, text] of unreadable) {
    it(`is not read: ${name}`, () => {
      expect(readMemberRecord(SERVICE, text)).toEqual(null)
    })
  }

  it('leaves out a member that can not be read', () => {
    const text = '{"era":1,"members":[{"server":"a"},7]}'
    expect(readMemberRecord(SERVICE, text)).toEqual({ era: 1, members: [] })
  })
})
