import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { GroupRecord, ListedBackendServer, RoutingSnapshot } from '@nutmegcourse/protocol'
import {
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  regionId,
  term,
} from '@nutmegcourse/shared'
import { mergeSnapshot } from '../src/index.js'

const SERVER: ListedBackendServer = {
  kind: 'backendServer',
  id: backendServerId('sched-a'),
  database: databaseId('sched'),
  address: '127.0.0.1',
  port: 1,
  zone: availabilityZoneId('tanger-nord'),
  region: regionId('tanger'),
  state: 'live',
  slots: 3,
  connectionLimit: 25,
}
const record = (number: number): GroupRecord => ({
  database: databaseId('sched'),
  term: term(number),
  primary: SERVER.id,
  phase: { kind: 'stable' },
  coordinator: null,
  attempt: null,
  termStarts: [],
})
const snapshot = (
  sequence: number,
  version: number | null,
  groups: RoutingSnapshot['groups'],
): RoutingSnapshot => ({
  sequence,
  entryHost: entryHostId('entry-1'),
  targets:
    version === null
      ? null
      : {
          version,
          changeId: `change-${version}`,
          changedBy: 'operator',
          recentChangeIds: [],
          targets: { service: 'sched', classes: [], defaults: [] },
        },
  targetsConfirmed: true,
  groups,
  entryHostCount: 3,
})

// Every agent is restarted while callers continue. Each sends its proxies its state at once, which
// is still empty; the proxies must not refuse with no_configuration or no_bound because of that.
describe('mergeSnapshot', () => {
  const whole = snapshot(9, 4, [{ record: record(3), backendServers: [SERVER] }])
  const cases: {
    name: string
    received: RoutingSnapshot
    version: number
    term: number
    servers: number
  }[] = [
    { name: 'knows nothing', received: snapshot(1, null, []), version: 4, term: 3, servers: 1 },
    {
      name: 'knows no servers yet',
      received: snapshot(1, null, [{ record: record(3), backendServers: [] }]),
      version: 4,
      term: 3,
      servers: 1,
    },
    {
      name: 'knows older targets and an older term',
      received: snapshot(1, 2, [{ record: record(2), backendServers: [SERVER] }]),
      version: 4,
      term: 3,
      servers: 1,
    },
    {
      name: 'knows more',
      received: snapshot(10, 5, [{ record: record(4), backendServers: [SERVER, SERVER] }]),
      version: 5,
      term: 4,
      servers: 2,
    },
  ]
  for (const { name, received, version, term: expected, servers } of cases) {
    it(`keeps everything newer than the snapshot of an agent that ${name}`, () => {
      const merged = mergeSnapshot(whole, received)
      expect(merged.targets?.version).toEqual(version)
      expect(merged.groups.map(group => group.record.term)).toEqual([term(expected)])
      expect(merged.groups[0]?.backendServers.length).toEqual(servers)
      expect(merged.sequence).toEqual(received.sequence)
    })
  }
})
