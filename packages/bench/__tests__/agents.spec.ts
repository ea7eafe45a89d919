import { afterEach, describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { DRAINS_KEY, TARGETS_KEY, type VersionedTargets } from '@nutmegcourse/protocol'
import { AgentFleet, targetsDocument } from './agentFleet.js'
import { eventually } from './eventually.js'

/** Longer than the fixed wait of a planned move, and shorter than the wait for confirmations. */
const MOVE_WAIT_MILLISECONDS = 250

describe('agents as processes', () => {
  let fleet: AgentFleet | null = null
  const start = async (): Promise<AgentFleet> => {
    fleet = await AgentFleet.start(3)
    await fleet.put(TARGETS_KEY, targetsDocument(1, 'first'))
    await waitForChange(fleet, 'first')
    return fleet
  }
  afterEach(async () => {
    await fleet?.stop()
    fleet = null
  })

  it('send an accepted change to every proxy', async () => {
    const running = await start()
    await running.put(TARGETS_KEY, targetsDocument(2, 'second'))
    await waitForChange(running, 'second')
  })

  // A host is replaced while the store is unavailable and keeps no state. Its agent can get the
  // targets and the primary only from other agents.
  it('send targets and group records to a host that starts during a store outage', async () => {
    const running = await start()
    await running.setStoreOutage(true)
    const replaced = await running.addAgent()
    await waitUntilTrue(() => replaced.changeId === 'first' && replaced.primary === 'quai-0')
    await running.setStoreOutage(false)
    await running.put(TARGETS_KEY, targetsDocument(2, 'second'))
    await waitForChange(running, 'second')
  })

  // The store is restored from an older copy. The fleet must not go back to targets that operators
  // have replaced.
  it('keep the newest targets when the store returns with older ones, and update the store', async () => {
    const running = await start()
    await running.put(TARGETS_KEY, targetsDocument(2, 'second'))
    await waitForChange(running, 'second')
    await running.restoreStore(targetsDocument(1, 'first'))
    await waitUntilTrue(async () => {
      const stored = (await running.get(TARGETS_KEY)) as VersionedTargets | undefined
      return stored?.changeId === 'second'
    })
    expect(running.agents.map(agent => agent.changeId)).toEqual(['second', 'second', 'second'])
  })

  // The primary is killed while the store is unavailable, so the agents must agree without the
  // store.
  it('agree on a new primary during a store outage', async () => {
    const running = await start()
    await running.setStoreOutage(true)
    running.killServer(0)
    await waitUntilTrue(() => {
      const primaries = new Set(running.agents.map(agent => agent.primary))
      return primaries.size === 1 && !primaries.has('quai-0') && !primaries.has(null)
    })
  })

  // An agent is frozen while the primary changes; its proxies keep using their last snapshot. When
  // it resumes, it must not spread its outdated group record and must learn the new one.
  it('work without a frozen agent, which catches up when it is resumed', async () => {
    const running = await start()
    running.agent(2).process.signal('SIGSTOP')
    running.killServer(0)
    const others = running.agents.slice(0, 2)
    await waitUntilTrue(() => others.every(agent => isNewPrimary(agent.primary)))
    const newPrimary = others[0]?.primary ?? null
    running.agent(2).process.signal('SIGCONT')
    await waitUntilTrue(() => running.agent(2).primary === newPrimary)
    expect(others.map(agent => agent.primary)).toEqual([newPrimary, newPrimary])
  })

  it('take a drained backend server out of use and move the primary off it', async () => {
    const running = await start()
    await running.put(DRAINS_KEY, { version: 1, backendServers: ['quai-0'] })
    await waitUntilTrue(() => running.agents.every(agent => agent.leaving.join() === 'quai-0'))
    await waitUntilTrue(() => running.agents.every(agent => isNewPrimary(agent.primary)))
  })

  // A proxy has received the announcement of the move while a write is in flight. Guards against a fence that
  // interrupts the write: the report must reach any coordinator, from the proxy through its agent.
  for (const index of [0, 1, 2]) {
    it(`wait for the proxy of host ${index} before they fence a drained primary`, async () => {
      const running = await start()
      const late = running.agent(index)
      late.reportsMoves = false
      await running.put(DRAINS_KEY, { version: 1, backendServers: ['quai-0'] })
      await waitUntilTrue(() => late.phase === 'moving')
      await delay(MOVE_WAIT_MILLISECONDS)
      expect(late.phase).toEqual('moving')
      late.reportsMoves = true
      await waitUntilTrue(() => running.agents.every(agent => isNewPrimary(agent.primary)))
    })
  }

  it('leave the fleet on SIGTERM with exit code 0', async () => {
    const running = await start()
    expect(await running.agent(2).process.end('SIGTERM')).toEqual(0)
    running.agents.splice(2, 1)
    await waitUntilTrue(async () => (await running.agent(0).process.usage()).links === 1)
  })
})

const waitUntilTrue = (check: () => boolean | Promise<boolean>): Promise<void> =>
  eventually(async () => {
    expect(await check()).toEqual(true)
  })

const isNewPrimary = (primary: string | null): boolean => primary !== null && primary !== 'quai-0'

const waitForChange = (fleet: AgentFleet, change: string): Promise<void> =>
  waitUntilTrue(() => fleet.agents.every(agent => agent.changeId === change))
