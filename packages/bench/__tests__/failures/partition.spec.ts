import { describe, it } from 'node:test'
import { expect } from 'earl'
import { availabilityZoneId } from '@nutmegcourse/shared'
import { agentProcessId, pauseReplication, setReplicationLag } from '../../src/index.js'
import { runScenario, wait, type Scenario } from './scenario.js'

interface NamedScenario extends Scenario {
  readonly name: string
}

const CASA = availabilityZoneId('casa-est')
const TANGER = [availabilityZoneId('tanger-nord'), availabilityZoneId('tanger-sud')]
/** Longer than the deadlines of all classes in use. */
const LONG_FAULT_MILLISECONDS = 3000
const RESETS = 8
const RESET_INTERVAL_MILLISECONDS = 300
const NEAR_LAG_MILLISECONDS = 50
const FAR_LAG_MILLISECONDS = 400

const scenarios: readonly NamedScenario[] = [
  {
    /**
     * The regions are cut off from each other. The primary still has a majority in its region and
     * must not change. Writes through the far region's proxy are refused or wait; other callers are
     * not affected.
     */
    name: 'the regions are cut off from each other for a while',
    act: async fixture => {
      await fixture.deployment.cut(TANGER, [CASA])
      await fixture.waitForWrites()
      await wait(LONG_FAULT_MILLISECONDS)
      const record = await fixture.deployment.platform.groupRecord(fixture.database.id)
      expect(record.primary).toEqual(fixture.primary.id)
      await fixture.deployment.heal(TANGER, [CASA])
    },
  },
  {
    /**
     * A long store outage alone must not affect callers: the current state stays in use.
     */
    name: 'the store is unavailable for long and nothing else fails',
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await wait(LONG_FAULT_MILLISECONDS)
      await fixture.waitForWrites()
      await fixture.deployment.platform.setStoreFaults({ outage: false })
    },
    check: result => {
      expect(result.unknown).toEqual(0)
    },
  },
  {
    /**
     * Both replicas stop replicating, so only the primary has new writes and none of them may be
     * acknowledged. Callers get refusals or unknown outcomes.
     */
    name: 'both replicas stop replicating, then catch up',
    act: async fixture => {
      for (const index of [1, 2]) await pauseReplication(fixture.server(index), true)
      const paused = fixture.load.now()
      await wait(LONG_FAULT_MILLISECONDS)
      expect(fixture.acknowledgedSince(paused)).toEqual(0)
      for (const index of [1, 2]) {
        await pauseReplication(fixture.server(index), false)
      }
    },
  },
  {
    /**
     * Connections between the regions are reset repeatedly while answers to writes are in transit.
     * These writes may have run and must not be retried; callers get unknown outcomes.
     */
    name: 'connections between the regions are reset with answers in transit',
    act: async fixture => {
      for (let turn = 0; turn < RESETS; turn += 1) {
        await fixture.deployment.resetConnections(TANGER, [CASA])
        await wait(RESET_INTERVAL_MILLISECONDS)
      }
    },
    check: result => {
      expect(result.unknown).toBeGreaterThan(0)
    },
  },
  {
    /**
     * A session writes through one proxy and reads through another while the replicas lag. The read
     * must wait for a replica that has the write, or go to a server that has it; it must not miss
     * the write.
     */
    name: 'the replicas lag and sessions move between proxies',
    act: async fixture => {
      await setReplicationLag(fixture.server(1), NEAR_LAG_MILLISECONDS)
      await setReplicationLag(fixture.server(2), FAR_LAG_MILLISECONDS)
      await wait(2 * LONG_FAULT_MILLISECONDS)
      await fixture.waitForWrites()
    },
    check: result => {
      expect(result.unknown).toEqual(0)
    },
  },
  {
    /**
     * The agent that would coordinate the failover is paused when the primary is killed, and others
     * take over. When it resumes, its own steps must fail as outdated.
     */
    name: 'the primary is killed while the first agent is frozen',
    act: async fixture => {
      const agent = agentProcessId(fixture.deployment.entryHost(0))
      fixture.deployment.freeze(agent)
      await fixture.deployment.kill(fixture.primary.id)
      await fixture.waitForNewPrimary(fixture.primary)
      await fixture.waitForWrites()
      fixture.deployment.thaw(agent)
      await fixture.deployment.process(fixture.primary.id).start()
      await fixture.waitForWrites()
    },
  },
  {
    /**
     * All agents are killed. Proxies keep using their last snapshot, and callers are not affected.
     */
    name: 'every agent is killed and restarted',
    act: async fixture => {
      const agents = fixture.deployment.plan.entryHosts.map(agentProcessId)
      await Promise.all(agents.map(agent => fixture.deployment.kill(agent)))
      await fixture.waitForWrites()
      await Promise.all(agents.map(agent => fixture.deployment.process(agent).start()))
      await fixture.waitForWrites()
    },
    check: result => {
      expect(result.unknown).toEqual(0)
      expect([...result.refusals.keys()]).toEqual([])
    },
  },
  {
    /**
     * The primary's zone is isolated while the store is unavailable. The other zones must agree
     * without the store, and writes on the isolated primary must not be acknowledged.
     */
    name: "the primary's zone is isolated while the store is unavailable",
    act: async fixture => {
      await fixture.deployment.platform.setStoreFaults({ outage: true })
      await fixture.deployment.isolate(fixture.primary.zone)
      await fixture.waitForWrites()
      await fixture.deployment.rejoin(fixture.primary.zone)
      await fixture.deployment.platform.setStoreFaults({ outage: false })
      await fixture.waitForNewPrimary(fixture.primary)
    },
  },
]

describe('partitions and pauses', () => {
  for (const scenario of scenarios) {
    it(`loses and duplicates no write when ${scenario.name}`, () => runScenario(scenario))
  }
})
