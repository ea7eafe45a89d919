import { describe, it } from 'node:test'
import { expect } from 'earl'
import { hostKey, writeRecord } from '@nutmegcourse/coordination'
import type { DirectoryChange, FleetConfiguration } from '@nutmegcourse/protocol'
import { SeededRandom, VirtualClock, milliseconds } from '@nutmegcourse/shared'
import type { HostContext } from '../src/hostContext.js'
import { HostFleet } from '../src/hostFleet.js'
import { ChangeFeedServer } from '../src/changeFeedServer.js'
import { StoreKnowledge } from '../src/storeKnowledge.js'
import { ServiceRegistry, type ServiceRegistryPorts } from '../src/serviceRegistry.js'

// Guards against planning the owners again for each host that is added: when the fleet starts, or after a power loss,
// every host would compute hosts times services times hosts hashes.

const SERVICES = 14
const ZONES = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']
const SELF = 'host-0'
const NOW = milliseconds(0)

const hostRecord = (index: number): DirectoryChange => {
  const zone = ZONES[index % ZONES.length] ?? ''
  const record = { zone, region: zone.slice(0, 1), relay: null, weight: 1 }
  return {
    kind: 'record',
    key: hostKey(`host-${index}`),
    value: writeRecord(record),
    revision: index + 2,
    lease: 0,
  }
}

const CONFIGURATION: FleetConfiguration = {
  version: 1,
  routes: [],
  services: Array.from({ length: SERVICES }, (_, index) => ({
    name: `db-${index}`,
    connectionLimit: 108,
    synchronousReplicas: 1,
  })),
  customers: [],
  idleTransactionMilliseconds: 3000,
}

function createRegistry(planEvents: string[]): ServiceRegistry {
  const clock = new VirtualClock()
  const context = {
    settings: { entryHost: SELF, zone: 'a1', region: 'a', drainMilliseconds: 10_000 },
    clock,
    knowledge: new StoreKnowledge(clock, 4000),
    random: new SeededRandom(1),
    log: {
      write: (event: string) => {
        if (event === 'owners_planned') planEvents.push(event)
      },
    },
  } as unknown as HostContext
  return new ServiceRegistry(
    context,
    {} as ServiceRegistryPorts,
    new HostFleet(context),
    new ChangeFeedServer(context),
    () => undefined,
  )
}

const hosts = (from: number, to: number): DirectoryChange[] =>
  Array.from({ length: to - from }, (_, index) => hostRecord(from + index))

const CONFIGURED: DirectoryChange = { kind: 'configuration', configuration: CONFIGURATION }

interface Case {
  readonly name: string
  /** The first list, and the changes of one watch after it. */
  readonly listed: readonly DirectoryChange[]
  readonly changes: readonly DirectoryChange[]
  readonly maxPlans: number
}

const CASES: readonly Case[] = [
  {
    name: 'runs once per service for a list of 9 hosts',
    listed: [CONFIGURED, ...hosts(0, 9)],
    changes: [],
    maxPlans: SERVICES,
  },
  {
    name: 'runs once per service for a list of 195 hosts',
    listed: [CONFIGURED, ...hosts(0, 195)],
    changes: [],
    maxPlans: SERVICES,
  },
  {
    name: 'runs once per service for a list of 1,500 hosts',
    listed: [CONFIGURED, ...hosts(0, 1500)],
    changes: [],
    maxPlans: SERVICES,
  },
  {
    name: 'runs once per service for a list, and once more for 50 hosts that join at once',
    listed: [CONFIGURED, ...hosts(0, 195)],
    changes: hosts(195, 245),
    maxPlans: 2 * SERVICES,
  },
]

describe('the planning of owners', () => {
  for (const { name, listed, changes, maxPlans } of CASES) {
    it(name, () => {
      const lines: string[] = []
      const registry = createRegistry(lines)
      registry.takeList(listed, NOW, false)
      if (changes.length > 0) registry.takeChanges(changes, NOW)
      expect(lines.length <= maxPlans).toEqual(true)
      expect(lines.length >= SERVICES).toEqual(true)
    })
  }
})
