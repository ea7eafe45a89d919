import { describe, it } from 'node:test'
import { expect } from 'earl'
import { availabilityZoneId, backendServerId } from '@nutmegcourse/shared'
import type { BackendServerEntry, DirectoryChange } from '@nutmegcourse/protocol'
import { isUrgent, type ServiceInterest } from '../src/changeUrgency.js'
import { CONFIGURATION } from './support/hostFixture.js'

// A primary is cut off from a few hosts of a large fleet. Each of its owners writes a vote to the store, and every
// vote ended the watch of every host: thousands of calls for votes that only the owners count. Hosts that do not
// work with the service may batch such changes.

const entry = (service: string, isLeaving: boolean, role: 'primary' | 'replica') =>
  ({
    server: backendServerId(`i-${service}`),
    service,
    host: '127.0.0.1',
    port: 1,
    zone: availabilityZoneId('z'),
    slots: 3,
    isLeaving,
    role,
    startedAtUnixMilliseconds: 1,
  }) satisfies BackendServerEntry

const listed = (service: string, isLeaving: boolean, role: 'primary' | 'replica') =>
  ({ kind: 'server', entry: entry(service, isLeaving, role) }) as const

const gone = (service: string) =>
  ({ kind: 'serverGone', server: backendServerId(`i-${service}`) }) as const

const record = (key: string) =>
  ({ kind: 'record', key, value: '{}', revision: 7, lease: 0 }) as const

const interest: ServiceInterest = {
  worksWith: service => service === 'owned',
  serviceOf: server => (server === 'i-unknown' ? null : server.slice(2)),
}

const cases: readonly (readonly [string, DirectoryChange, boolean])[] = [
  ['a configuration', { kind: 'configuration', configuration: CONFIGURATION }, false],
  ['an unreadable item', { kind: 'unreadable', key: 'k', detail: 'd' }, false],
  ['a replica that appears', listed('owned', false, 'replica'), false],
  ['a primary', listed('owned', false, 'primary'), true],
  ['a leaving server', listed('owned', true, 'replica'), true],
  ['a primary of a service of other hosts', listed('other', false, 'primary'), false],
  ['a leaving server of a service of other hosts', listed('other', true, 'replica'), false],
  ['a removed server', gone('owned'), true],
  ['a removed server of a service of other hosts', gone('other'), false],
  ['a removed server that was never known', gone('unknown'), false],
  ['the record of a host', record('host/h'), false],
  ['a vote', record('suspicion/owned/h'), true],
  ['a vote on a service of other hosts', record('suspicion/other/h'), false],
  ['a claim', record('change/owned'), true],
  ['a claim on a service of other hosts', record('change/other'), false],
  ['a record of an unknown kind', record('else'), false],
]

describe('the next change in the store', () => {
  for (const [name, change, urgent] of cases) {
    it(`${urgent ? 'is urgent' : 'is not urgent'} after ${name}`, () => {
      expect(isUrgent(change, interest)).toEqual(urgent)
    })
  }
})
