import { describe, it } from 'node:test'
import { expect } from 'earl'
import { membersKey } from '@nutmegcourse/coordination'
import { withPorts } from '../src/memberAddresses.js'

const KEY = membersKey('db-1')
const record = (ports: readonly number[]): string =>
  JSON.stringify({
    era: 0,
    members: ports.map((port, index) => ({ server: `i-${String(index)}`, host: '::1', port })),
  })
const portOf = (server: string): number | undefined => (server === 'i-0' ? 7 : undefined)

// Guards against hosts that find each other's records of members wrong, because each reaches the servers at ports of
// its own: they rewrote the records ten times a second, and each change ended the watches of all hosts.
describe('the ports of servers in a record', () => {
  const CASES: Readonly<Record<string, readonly [key: string, before: string, after: string]>> = {
    'are those of the host that reads it': [KEY, record([1, 2]), record([7, 2])],
    'stay as they are in other records': ['host/h', 'text', 'text'],
  }
  for (const [name, [key, before, after]] of Object.entries(CASES)) {
    it(name, () => {
      expect(withPorts(key, before, portOf)).toEqual(after)
    })
  }
})
