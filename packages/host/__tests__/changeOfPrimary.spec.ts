import { describe, it } from 'node:test'
import { expect } from 'earl'
import { StoreConnection, freePorts } from '@nutmegcourse/stand-ins'
import type { Caller } from './support/caller.js'
import { A, B, P, inScene, type Scene, type SceneHost } from './support/scene.js'

const eventsOf = (hosts: readonly SceneHost[], event: string): number =>
  hosts.reduce((sum, { lines }) => sum + lines.filter(line => line.event === event).length, 0)

/** Longer than a change of primary takes here. */
const REPLICATION_OUTAGE_MILLISECONDS = 2500

/** Writes again and again until one succeeds; how often it was told something else. */
async function writeUntilDone(caller: Caller, span = 6000): Promise<string[]> {
  const failures: string[] = []
  const limit = performance.now() + span
  while (performance.now() < limit) {
    const outcome = await caller.tell('write 1')
    if (outcome === 'done') return failures
    failures.push(outcome)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  throw new Error(`no write succeeded: ${failures.slice(-5).join(', ')}`)
}

describe('a change of primary by entry hosts', () => {
  /**
   * Story of each: the primary is gone in one of these ways. Callers' writes must succeed again
   * within seconds at a server that holds all that was acknowledged, and none may be told that
   * nothing is kept when it is.
   */
  const ways: readonly (readonly [string, (scene: Scene) => void])[] = [
    [
      'crashes',
      scene => {
        scene.crash(P)
      },
    ],
    [
      'answers nothing',
      scene => {
        scene.group.server(P).isSilent = true
      },
    ],
    [
      'crashes while a replica is deaf',
      scene => {
        scene.group.server(A).isDeaf = true
        scene.group.commit(scene.group.primary, ['only at b'])
        scene.crash(P)
        setTimeout(() => {
          scene.group.server(A).isDeaf = false
        }, REPLICATION_OUTAGE_MILLISECONDS)
      },
    ],
  ]
  for (const [name, fail] of ways) {
    it(`the primary ${name}`, async () => {
      await inScene(3, async (scene, [host]) => {
        if (host === undefined) return
        const caller = await scene.caller(host, 'latest')
        await caller.tell('write 1')
        fail(scene)
        await writeUntilDone(caller)
        expect(scene.group.promotions >= 1).toEqual(true)
        expect(scene.group.primary.id === P).toEqual(false)
      })
    })
  }

  // The primary goes dark while readers hold every connection that the replicas take. Orders to the
  // replicas came over new connections, which they rejected as too many; for seconds nobody was
  // promoted, though the connections were free again every few milliseconds.
  it('reaches replicas that take no further connection', async () => {
    const options = { connectionLimit: 1 }
    await inScene(1, fillReplicas, options)
    async function fillReplicas(scene: Scene, [host]: readonly SceneHost[]): Promise<void> {
      if (host === undefined) return
      scene.dialer.hooks.workMilliseconds = 30
      let isOver = false
      const readers = Array.from({ length: 8 }, async () => {
        const caller = await scene.caller(host, 'bounded')
        while (!isOver) await caller.tell('read 1')
      })
      await new Promise(resolve => setTimeout(resolve, 300))
      scene.group.server(P).isSilent = true
      try {
        await scene.until(() => scene.group.promotions > 0, 'a replica is promoted', 4500)
      } finally {
        isOver = true
        await Promise.all(readers)
      }
    }
  })

  // A primary, two of its three owners and four other hosts are split from the store and the
  // replicas. The third owner alone finds it silent; that it might itself be cut off made it wait
  // for seconds, though two hosts beside it knew no better and were never asked. They are, and say
  // so.
  it('is not waited for when the other owners are cut off with the primary', async () => {
    const options = { connectionLimit: 22, relayPorts: await freePorts(9) }
    await inScene(9, isolatePrimary, options)
    async function isolatePrimary(scene: Scene, hosts: readonly SceneHost[]): Promise<void> {
      const isOwner = ({ host }: SceneHost): boolean => host.find('own')?.desk.isOwned === true
      await scene.until(() => hosts.filter(isOwner).length === 3, 'three hosts own the service')
      const [left] = hosts.filter(isOwner)
      const others = hosts.filter(each => !isOwner(each))
      const outside = new Set([left, ...others.slice(0, 2)])
      for (const each of hosts) {
        if (outside.has(each)) scene.cutOff(each, P)
        else each.store.mood = 'silent'
      }
      await scene.until(() => scene.group.promotions > 0, 'another server leads', 2000)
    }
  })

  // The primary goes dark in the busiest minute. New statements keep coming for it; each of them made a
  // host take the server for one that had just been given work, and none asked whether it lives. Callers
  // were refused for seconds, until the store dropped the server's entry.
  it('notices a silent primary under load', async () => {
    await inScene(3, async (scene, hosts) => {
      const told: Promise<string>[] = []
      const load = setInterval(() => {
        for (const host of hosts) {
          told.push(scene.caller(host, 'latest').then(caller => caller.tell('write 1')))
        }
      }, 20)
      await new Promise(resolve => setTimeout(resolve, 200))
      scene.group.server(P).isSilent = true
      try {
        await scene.until(() => scene.group.promotions > 0, 'another server leads', 2000)
      } finally {
        clearInterval(load)
        await Promise.all(told)
      }
    })
  })

  // The primary says that it leaves. It goes on serving until another one leads, so that callers see
  // no more than a few refused statements, and all are done again within the time of one.
  it('moves away from a leaving primary without a pause for callers', async () => {
    await inScene(3, async (scene, [host]) => {
      if (host === undefined) return
      const caller = await scene.caller(host, 'latest')
      scene.list(P, { isLeaving: true })
      const limit = performance.now() + 4000
      while (eventsOf(scene.hosts, 'change_done') === 0 && performance.now() < limit) {
        expect(await caller.tell('write 1')).toEqual('done')
        await new Promise(resolve => setTimeout(resolve, 5))
      }
      expect(scene.group.primary.id === P).toEqual(false)
      expect(await caller.tell('write 1')).toEqual('done')
      for (const server of [A, B]) expect(scene.group.server(server).pausedFor).toEqual(0)
    })
  })

  // Two hosts see at the same moment that the primary leaves. While one waits for its lease the
  // other claims; the first must not overwrite that claim with its own, or two hosts pause and
  // promote against each other and replicas stay paused for good.
  it('does not overwrite a claim that was made while it prepared its own', async () => {
    await inScene(0, async scene => {
      const slow = new SlowLeases(scene.store)
      const hosts = [scene.add('host-1', 1000, slow), scene.add('host-2')]
      await scene.ready()
      slow.holdLeases()
      scene.list(P, { isLeaving: true })
      await scene.until(() => eventsOf(hosts, 'change_claimed') === 1, 'one host has claimed')
      slow.releaseLeases()
      await scene.until(() => eventsOf(hosts, 'change_done') >= 1, 'the change is done')
      await new Promise(resolve => setTimeout(resolve, 300))
      expect(eventsOf(hosts, 'change_claimed')).toEqual(1)
      expect(scene.group.promotions).toEqual(1)
    })
  })

  // The host that changes the primary dies between pausing the replicas and the promotion. Writes
  // would hang for good; another host takes the change up when the claim's lease has ended.
  it('takes up a change whose host is gone', async () => {
    await inScene(3, async (scene, hosts) => {
      const [host] = hosts
      if (host === undefined) return
      const caller = await scene.caller(host, 'latest')
      scene.group.pause(scene.group.server(A), 2)
      scene.group.pause(scene.group.server(B), 2)
      const lease = scene.store.grant(300)
      const value = JSON.stringify({ phase: 'claimed', holder: 'gone', attempt: 'x' })
      const key = 'change/db-1'
      scene.store.change({ expected: [], puts: [{ key, value, lease }], removes: [] })
      await writeUntilDone(caller)
      await scene.until(() => eventsOf(hosts, 'change_done') >= 1, 'the change is done')
      for (const server of [A, B]) expect(scene.group.server(server).pausedFor).toEqual(0)
    })
  })

  // The platform does not answer the order to promote, and carries it out later. The order is given
  // again until its effect shows; whatever comes late changes nothing more.
  it('settles an order to promote that was not answered', async () => {
    await inScene(2, async (scene, hosts) => {
      let orders = 0
      scene.promotionFault = () => {
        orders += 1
        return orders === 1 ? 'late' : 'none'
      }
      const [host] = hosts
      if (host === undefined) return
      const caller = await scene.caller(host, 'latest')
      scene.crash(P)
      await writeUntilDone(caller)
      await new Promise(resolve => setTimeout(resolve, 500))
      expect(scene.group.promotions).toEqual(1)
      expect(await caller.tell('write 1')).toEqual('done')
    })
  })

  // The store loses the answer to a claim. The host must find out whether it holds the claim, not
  // claim a second time against itself, and not leave the service without a primary.
  it('finds out whether an unanswered claim was made', async () => {
    await inScene(2, async (scene, hosts) => {
      const [first, second] = hosts
      if (first === undefined || second === undefined) return
      const caller = await scene.caller(second, 'latest')
      scene.crash(P)
      first.store.mood = 'losingAnswers'
      await writeUntilDone(caller, 9000)
      first.store.mood = 'well'
      expect(await caller.tell('write 1')).toEqual('done')
    })
  })
})

/** A connection to the store that holds back the grant of leases. */
class SlowLeases extends StoreConnection {
  #held: Promise<void> | null = null
  #release: (() => void) | null = null

  holdLeases(): void {
    this.#held = new Promise(resolve => {
      this.#release = resolve
    })
  }

  releaseLeases(): void {
    this.#release?.()
    this.#held = null
  }

  override async grantLease(
    lifetime: number,
    limit: number,
  ): ReturnType<StoreConnection['grantLease']> {
    if (this.#held !== null) await this.#held
    return super.grantLease(lifetime, limit)
  }
}
