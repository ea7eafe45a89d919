import { describe, it } from 'node:test'
import { expect } from 'earl'
import { membersKey, readMemberRecord } from '@nutmegcourse/coordination'
import type { BackendCommand } from '@nutmegcourse/protocol'
import { backendServerId, type BackendServerId } from '@nutmegcourse/shared'
import { freePorts } from '@nutmegcourse/stand-ins'
import {
  A,
  B,
  P,
  SERVICE,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
  type HostFixtureOptions,
} from './support/hostFixture.js'

const SUCCESSOR = backendServerId('i-successor')

const PROMOTION_MILLISECONDS = 600
const WRITE_INTERVAL_MILLISECONDS = 5

/** Longer than the lease of a claim, and the rounds that its holder may still begin. */
const NEXT_HOLDER_MILLISECONDS = 9000
const CHANGE_MILLISECONDS = 9000

/** A host that starts takes its list for complete only after this time. */
const LIST_COMPLETE_MILLISECONDS = 3000

/** Time for all orders that may still be under way to take effect. */
const SETTLE_MILLISECONDS = 2 * PROMOTION_MILLISECONDS

const pause = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const isAlive = (scene: HostFixture): boolean => {
  const { currentPrimary: primary } = scene.group
  return primary !== null && !primary.isDown && !primary.isSilent
}

/** Writes of clients that are connected elsewhere: the group's primary gets one every few milliseconds. */
class SteadyWrites {
  readonly #scene: HostFixture
  readonly #timer: NodeJS.Timeout
  #count = 0

  constructor(scene: HostFixture) {
    this.#scene = scene
    this.#timer = setInterval(() => {
      this.write()
    }, WRITE_INTERVAL_MILLISECONDS)
  }

  write(): void {
    const { currentPrimary: primary } = this.#scene.group
    if (primary === null || !isAlive(this.#scene)) return
    this.#count += 1
    this.#scene.group.append(primary, [`steady-${String(this.#count)}`])
  }

  stop(): void {
    clearInterval(this.#timer)
  }
}

const summaryOf = (violations: readonly string[]): string =>
  violations.length === 0
    ? 'no acknowledged write is lost'
    : `${String(violations.length)} losses: ${violations[0] ?? ''}`

/** A server ends, and its log with it. */
function endServer(scene: HostFixture, server: BackendServerId): void {
  scene.crash(server)
  scene.store.unlistServer(server)
}

/** Three heartbeats without an answer, after which the store removes an entry. */
const ENTRY_LIFETIME_MILLISECONDS = 3000

/** Longer than the life of an entry and the time for which the hosts keep a server without one. */
const SILENT_PRIMARY_MILLISECONDS = 8000

/** The primary is down for a while and comes back with its log; meanwhile all replicas receive again. */
async function silencePrimary(scene: HostFixture, span: number): Promise<void> {
  scene.crash(P)
  for (const server of scene.group.servers.keys()) receivesNothing(scene, server, false)
  await pause(ENTRY_LIFETIME_MILLISECONDS)
  scene.store.unlistServer(P)
  await pause(span - ENTRY_LIFETIME_MILLISECONDS)
  scene.group.recover(scene.group.server(P))
  scene.listServer(P)
}

/** The same orders of events as the group sees them, for the evidence of a failure. */
const stateOf = (scene: HostFixture): string =>
  [...scene.group.servers.values()]
    .map(
      ({ id, role, term, log, pausedFor }) =>
        `${id} ${role} ${String(term)}.${String(log.length)} paused ${String(pausedFor)}`,
    )
    .join(', ')

const receivesNothing = (scene: HostFixture, server: BackendServerId, isBlocked = true): void => {
  scene.group.receive(scene.group.server(server))
  scene.group.server(server).isReplicationBlocked = isBlocked
}

/** The replica that is neither the primary P nor the given one. */
const otherReplica = (server: BackendServerId): BackendServerId => (server === A ? B : A)

const hostNamed = (hosts: readonly FixtureHost[], name: string): FixtureHost => {
  const found = hosts.find(({ host }) => host.name === name)
  if (found === undefined) throw new Error(`no host ${name}`)
  return found
}

const eventsOf = (hosts: readonly FixtureHost[], event: string): number =>
  hosts.reduce((sum, { lines }) => sum + lines.filter(line => line.event === event).length, 0)

/** Resolves with the first order to promote: its host and server. */
const orderOf = (
  scene: HostFixture,
  isWanted: (host: string, server: BackendServerId) => boolean = () => true,
): Promise<{ readonly host: string; readonly server: BackendServerId }> =>
  new Promise(resolve => {
    const { after } = scene.promotionHooks
    scene.promotionHooks.after = async (host, server) => {
      if (isWanted(host, server)) resolve({ host, server })
      await after?.(host, server)
    }
  })

/** Fails instead of waiting forever when no host orders a promotion. */
const inTime = <Value>(awaited: Promise<Value>, what: string): Promise<Value> =>
  Promise.race([
    awaited,
    pause(CHANGE_MILLISECONDS).then(() => {
      throw new Error(`timed out waiting until ${what}`)
    }),
  ])

/** Until the hosts no longer keep the server whose entry is gone. */
async function loseEntry(
  scene: HostFixture,
  hosts: readonly FixtureHost[],
  server: BackendServerId,
): Promise<void> {
  scene.store.unlistServer(server)
  const isRemoved = (): boolean => eventsOf(hosts, 'server_removed') === hosts.length
  await scene.until(isRemoved, 'the server is no longer used', CHANGE_MILLISECONDS)
}

const namesMember = (scene: HostFixture, server: BackendServerId): boolean => {
  const value = scene.store.record(membersKey(SERVICE))?.value ?? ''
  const members = readMemberRecord(SERVICE, value)?.members ?? []
  return members.some(({ entry }) => entry.server === server)
}

/** Makes the candidate of the next choice fall behind the replica that is paused first. */
function delayCandidate(scene: HostFixture): void {
  let isPaused = false
  scene.dialer.hooks.onCommand = (server, { kind }) => {
    if (kind !== 'pause' || isPaused || server === P) return 'none'
    isPaused = true
    receivesNothing(scene, otherReplica(server))
    scene.group.commit(scene.group.primary, ['ahead'])
    return 'none'
  }
}

type Scenario = (
  scene: HostFixture,
  hosts: readonly FixtureHost[],
  writes: SteadyWrites,
) => Promise<void>

interface ForcedCase {
  readonly name: string
  readonly hosts: number
  readonly play: Scenario
  readonly options?: HostFixtureOptions
  /** Whether the hosts run orders and statements for each other. */
  readonly isRelaying?: boolean
}

async function playCase({ hosts, play, options, isRelaying }: ForcedCase): Promise<void> {
  const relayPorts = isRelaying === true ? await freePorts(hosts) : []
  await withHostFixture(
    hosts,
    async (scene, added) => {
      const writes = new SteadyWrites(scene)
      try {
        await pause(100)
        await play(scene, added, writes)
        await pause(SETTLE_MILLISECONDS)
        expect(summaryOf(scene.group.violations)).toEqual('no acknowledged write is lost')
        const before = scene.group.acknowledged.length
        const isAcknowledging = (): boolean => {
          writes.write()
          return scene.group.acknowledged.length > before
        }
        const what = `a primary takes writes; ${stateOf(scene)}`
        await scene.until(isAcknowledging, what, CHANGE_MILLISECONDS)
        expect(summaryOf(scene.group.violations)).toEqual('no acknowledged write is lost')
      } finally {
        writes.stop()
      }
    },
    { promotionMilliseconds: PROMOTION_MILLISECONDS, relayPorts, ...options },
  )
}

/**
 * The first holder orders a promotion and stands still. Another one claims after its lease has ended and orders the
 * promotion of a second server; then the first one goes on, without reaching that server.
 */
async function playOvertakenHolder(
  scene: HostFixture,
  hosts: readonly FixtureHost[],
  whenSecondOrders: (first: BackendServerId, second: BackendServerId) => void,
): Promise<void> {
  const stall: { end: () => void } = { end: () => undefined }
  const stalled = new Promise<void>(resolve => {
    stall.end = resolve
  })
  let firstHolder: string | null = null
  scene.promotionHooks.after = async name => {
    if (firstHolder !== null) return
    firstHolder = name
    scene.freeze(hostNamed(hosts, name))
    await stalled
  }
  const first = orderOf(scene)
  scene.listServer(P, { isLeaving: true })
  const { host: name, server } = await inTime(first, 'a server is ordered to be promoted')
  const isSecond = (host: string, each: BackendServerId): boolean =>
    host !== name && each !== server && scene.group.currentPrimary?.id !== each
  const isOver = pause(NEXT_HOLDER_MILLISECONDS).then(() => null)
  const second = await Promise.race([orderOf(scene, isSecond), isOver])
  if (second !== null) whenSecondOrders(server, second.server)
  const holder = hostNamed(hosts, name)
  scene.thaw(holder)
  if (second !== null) scene.partition(holder, second.server)
  stall.end()
  await pause(SETTLE_MILLISECONDS)
  if (second !== null) scene.heal(holder, second.server)
  for (const each of scene.group.servers.keys()) receivesNothing(scene, each, false)
}

/** Until a host orders the promotion of a server for which `then` is called; the change goes on afterwards. */
async function playLeaving(
  scene: HostFixture,
  then: (chosen: BackendServerId) => void,
): Promise<void> {
  const order = orderOf(scene)
  scene.listServer(P, { isLeaving: true })
  const { server } = await inTime(order, 'a server is ordered to be promoted')
  then(server)
  await pause(SETTLE_MILLISECONDS)
  for (const each of scene.group.servers.keys()) receivesNothing(scene, each, false)
}

/** The primary leads again without its log while the only replica that holds all writes does not answer the host. */
async function playEmptyPrimary(scene: HostFixture, [host]: readonly FixtureHost[]): Promise<void> {
  if (host === undefined) return
  receivesNothing(scene, A)
  for (let index = 1; index <= 20; index += 1) {
    scene.group.commit(scene.group.primary, [`only at b ${String(index)}`])
  }
  scene.partition(host, B)
  scene.crash(P)
  await scene.until(() => eventsOf([host], 'change_claimed') > 0, 'the change is claimed')
  scene.restartEmpty(P)
  receivesNothing(scene, A, false)
  await pause(5000)
  scene.heal(host, B)
}

/** What happens to a paused replica while a promotion is awaited whose server receives nothing. */
const endsOfPause: readonly (readonly [
  string,
  (scene: HostFixture, server: BackendServerId) => void,
])[] = [
  [
    'restarts',
    (scene, server) => {
      scene.restart(server)
    },
  ],
  [
    'gets a late order to resume',
    (scene, server) => {
      scene.group.resume(scene.group.server(server))
    },
  ],
  [
    'ends and its successor takes over',
    (scene, server) => {
      scene.replaceServer(server, SUCCESSOR)
    },
  ],
]

const changePrimary = async (scene: HostFixture, hosts: readonly FixtureHost[]): Promise<void> => {
  scene.listServer(P, { isLeaving: true })
  const isDone = (): boolean => eventsOf(hosts, 'change_done') > 0
  await scene.until(isDone, 'the change is done', CHANGE_MILLISECONDS)
}

const LATE_MILLISECONDS = 2000

/** Leaves time to see what happens before a promotion takes effect, also on a busy machine. */
const SLOW_PROMOTION_MILLISECONDS = 2000

/** The first order of a kind to each server stays unanswered and is carried out later. */
function loseFirstOrders(scene: HostFixture, kind: BackendCommand['kind']): void {
  const lost = new Set<BackendServerId>()
  scene.dialer.hooks.onCommand = (server, command) => {
    if (command.kind !== kind || lost.has(server)) return 'none'
    lost.add(server)
    return { lateMilliseconds: LATE_MILLISECONDS }
  }
}

const FAR_REPLICAS = {
  replicationMilliseconds: new Map([
    [A, 25],
    [B, 40],
  ]),
}

const cases: readonly ForcedCase[] = [
  // Guards against a planned change that loses writes although nothing fails.
  { name: 'nothing fails during a planned change', hosts: 2, play: changePrimary },
  // Guards against a server that is promoted before the writes under way to it have arrived.
  {
    name: 'replicas are far away during a planned change',
    hosts: 2,
    play: changePrimary,
    options: FAR_REPLICAS,
  },
  // Guards against the same where the primary has ended.
  {
    name: 'replicas are far away and the primary crashes',
    hosts: 2,
    play: async scene => {
      scene.crash(P)
      await scene.until(
        () => scene.group.promotions > 0,
        'another server leads',
        CHANGE_MILLISECONDS,
      )
    },
    options: FAR_REPLICAS,
  },
  // Guards against orders that take effect once the change is over.
  ...(['pause', 'report'] as const).map(kind => ({
    name: `the first order to ${kind} stays unanswered and is carried out late`,
    hosts: 2,
    play: async (scene: HostFixture, hosts: readonly FixtureHost[]) => {
      loseFirstOrders(scene, kind)
      await changePrimary(scene, hosts)
      await pause(LATE_MILLISECONDS)
    },
  })),
  // Guards against the same where a replica is cut off from the hosts, so that the primary has to step down.
  {
    name: 'the first order to stepDown stays unanswered and is carried out late',
    hosts: 2,
    play: async (scene, hosts) => {
      loseFirstOrders(scene, 'stepDown')
      for (const each of hosts) scene.partition(each, B)
      await changePrimary(scene, hosts)
      await pause(LATE_MILLISECONDS)
      for (const each of hosts) scene.heal(each, B)
    },
  },
  // Guards against a group that stays without a primary, since no host has a primary that it could suspect.
  {
    name: 'a late order to step down reaches the primary while no host changes it',
    hosts: 2,
    play: scene => {
      scene.group.stepDown(scene.group.primary, 2)
      scene.listServer(P)
      return pause(SETTLE_MILLISECONDS)
    },
  },
  // Guards against replicas that stay paused, so that no write is acknowledged, although the primary answers.
  {
    name: 'late orders to pause reach both replicas while no host changes the primary',
    hosts: 2,
    play: scene => {
      for (const server of [A, B]) scene.group.pause(scene.group.server(server), 2)
      return pause(SETTLE_MILLISECONDS)
    },
  },
  // Guards against a dead primary that comes back before its successor leads, beside a pause that has ended.
  {
    name: 'the primary and a paused replica come back while the chosen one receives nothing',
    hosts: 2,
    play: async scene => {
      const order = orderOf(scene)
      scene.crash(P)
      const { server } = await inTime(order, 'a server is ordered to be promoted')
      await pause(PROMOTION_MILLISECONDS / 4)
      receivesNothing(scene, server)
      scene.group.recover(scene.group.server(P))
      scene.restart(otherReplica(server))
      await pause(SETTLE_MILLISECONDS)
      receivesNothing(scene, server, false)
    },
  },
  // Guards against an order of a holder that has ended, carried out after the dead primary has come back.
  {
    name: 'the primary comes back before the order to promote of a holder that stands still is carried out',
    hosts: 3,
    play: async (scene, hosts) => {
      const order = orderOf(scene)
      scene.promotionFault = name => {
        scene.freeze(hostNamed(hosts, name))
        return scene.heldPromotions === 0 ? 'held' : 'noAnswer'
      }
      scene.crash(P)
      await inTime(order, 'a server is ordered to be promoted')
      scene.group.recover(scene.group.server(P))
      await pause(2000)
      scene.carryOutHeldPromotion()
      await pause(SETTLE_MILLISECONDS)
      scene.promotionFault = () => 'none'
      for (const each of hosts) scene.thaw(each)
    },
  },
  // Guards against a promotion whose answer is lost, and whose order is repeated.
  {
    name: 'the answer to the order to promote is lost',
    hosts: 2,
    play: async (scene, hosts) => {
      let orders = 0
      scene.promotionFault = () => {
        orders += 1
        return orders === 1 ? 'lost' : 'none'
      }
      await changePrimary(scene, hosts)
    },
  },
  // Guards against a primary that leads on, or comes back, beside the one that replaced it.
  {
    name: 'the primary restarts while its successor is promoted',
    hosts: 2,
    play: async (scene, hosts) => {
      const order = orderOf(scene)
      scene.crash(P)
      await inTime(order, 'a server is ordered to be promoted')
      scene.group.recover(scene.group.server(P))
      const isDone = (): boolean => eventsOf(hosts, 'change_done') > 0
      await scene.until(isDone, 'the change is done', CHANGE_MILLISECONDS)
    },
  },
  // Guards against a holder that resumes, after it was overtaken, the replicas that the next holder has paused.
  {
    name: 'an overtaken holder goes on while the next one awaits a promotion',
    hosts: 3,
    play: (scene, hosts) =>
      playOvertakenHolder(scene, hosts, (_, second) => {
        receivesNothing(scene, second)
      }),
  },
  // Guards against the same where the second server is only further away than the resumed replica.
  {
    name: 'an overtaken holder resumes a replica that is nearer than the second server',
    hosts: 3,
    play: (scene, hosts) => playOvertakenHolder(scene, hosts, () => undefined),
    options: {
      replicationMilliseconds: new Map([
        [A, 25],
        [B, 25],
      ]),
    },
  },
  // Guards against an order to promote of an earlier holder that takes effect under the pauses of the next one.
  {
    name: 'the order to promote of an earlier holder is carried out between the pauses and the order of the next one',
    hosts: 3,
    play: async (scene, hosts) => {
      let firstHolder: string | null = null
      const held = new Promise<BackendServerId>(resolve => {
        scene.promotionFault = (name, server) => {
          firstHolder ??= name
          if (name !== firstHolder) return 'none'
          scene.freeze(hostNamed(hosts, name))
          resolve(server)
          return scene.heldPromotions === 0 ? 'held' : 'noAnswer'
        }
      })
      const next = new Promise<void>(resolve => {
        scene.promotionHooks.before = async name => {
          if (name === firstHolder) return
          resolve()
          if (scene.heldPromotions === 0) return
          scene.carryOutHeldPromotion()
          await pause(50)
        }
      })
      scene.listServer(P, { isLeaving: true })
      const first = await inTime(held, 'a server is ordered to be promoted')
      // The next holder prefers the other replica, which receives again.
      scene.listServer(first, { isLeaving: true })
      scene.restart(otherReplica(first))
      await Promise.race([next, pause(NEXT_HOLDER_MILLISECONDS)])
      scene.carryOutHeldPromotion()
      await pause(SETTLE_MILLISECONDS)
      scene.promotionFault = () => 'none'
      for (const each of hosts) scene.thaw(each)
    },
  },
  // Guards against two servers that are ordered to be promoted under one token, of which the first is paused by then.
  {
    name: 'an unanswered order to promote is carried out after another server was chosen',
    hosts: 1,
    play: async scene => {
      let first: BackendServerId | null = null
      const second = new Promise<void>(resolve => {
        scene.promotionFault = (_, server) => {
          first ??= server
          if (server !== first) {
            scene.carryOutHeldPromotion()
            resolve()
            return 'none'
          }
          return scene.heldPromotions === 0 ? 'held' : 'noAnswer'
        }
      })
      const order = orderOf(scene)
      scene.listServer(P, { isLeaving: true })
      const { server } = await inTime(order, 'a server is ordered to be promoted')
      scene.listServer(server, { isLeaving: true })
      scene.restart(otherReplica(server))
      await Promise.race([second, pause(3000)])
      scene.promotionFault = () => 'none'
      scene.carryOutHeldPromotion()
      await pause(SETTLE_MILLISECONDS)
    },
  },
  // Guards against a leaving replica that is forgotten once it has ended, although only it and the silent primary held
  // the last writes.
  {
    name: 'a leaving replica that alone acknowledged ends, and the primary is silent until its entry is dropped',
    hosts: 2,
    play: async scene => {
      receivesNothing(scene, A)
      scene.listServer(B, { isLeaving: true })
      await pause(300)
      endServer(scene, B)
      await pause(500)
      await silencePrimary(scene, SILENT_PRIMARY_MILLISECONDS)
    },
  },
  // Guards against the same where that replica crashed together with the primary.
  {
    name: 'the primary and the replica that alone acknowledged are down until their entries are dropped',
    hosts: 2,
    play: async scene => {
      receivesNothing(scene, A)
      await pause(300)
      endServer(scene, B)
      await silencePrimary(scene, SILENT_PRIMARY_MILLISECONDS)
    },
  },
  // Guards against a choice that ignores a live replica whose entry has lapsed.
  {
    name: 'a live replica has lost its entry and the primary crashes',
    hosts: 2,
    play: async (scene, hosts) => {
      await loseEntry(scene, hosts, B)
      receivesNothing(scene, A)
      await pause(200)
      scene.crash(P)
      receivesNothing(scene, A, false)
      await pause(3000)
      scene.listServer(B)
    },
  },
  // Guards against the same where the primary lives, and nothing stops the replica that is not listed.
  {
    name: 'a live replica has lost its entry and the primary is leaving',
    hosts: 2,
    play: async (scene, hosts) => {
      await loseEntry(scene, hosts, B)
      await playLeaving(scene, chosen => {
        receivesNothing(scene, chosen)
      })
      scene.listServer(B)
    },
  },
  // Guards against hosts that have all started again and do not know a live replica without an entry.
  {
    name: 'all hosts start again while a live replica has lost its entry, and the primary crashes',
    hosts: 2,
    play: async (scene, hosts) => {
      await scene.until(() => namesMember(scene, A), 'the store names the members')
      scene.store.unlistServer(A)
      receivesNothing(scene, B)
      await pause(200)
      for (const { host } of hosts) await host.stop()
      scene.hosts.splice(0)
      for (const name of ['host-3', 'host-4']) scene.add(name)
      await scene.ready()
      await pause(LIST_COMPLETE_MILLISECONDS)
      scene.crash(P)
      receivesNothing(scene, B, false)
      await pause(CHANGE_MILLISECONDS / 2)
      scene.listServer(A)
    },
  },
  // Guards against a host that takes the list of its start for complete, while entries are still coming back.
  {
    name: 'a host starts while the entry of a live replica has lapsed',
    hosts: 0,
    play: async scene => {
      scene.store.unlistServer(B)
      scene.add('host-1')
      await scene.ready()
      receivesNothing(scene, A)
      await pause(200)
      scene.crash(P)
      receivesNothing(scene, A, false)
      await pause(1800)
      scene.listServer(B)
    },
  },
  // Guards against an order to promote that is repeated although another replica has acknowledged since the choice.
  {
    name: 'a paused replica restarts beside an unseen primary before the order to promote is repeated',
    hosts: 1,
    play: async (scene, [host]) => {
      if (host === undefined) return
      scene.promotionFault = () =>
        eventsOf([host], 'promotion_ordered') === 0 ? 'noAnswer' : 'none'
      const order = orderOf(scene)
      scene.partition(host, P)
      const { server } = await inTime(order, 'a server is ordered to be promoted')
      receivesNothing(scene, server)
      scene.restart(otherReplica(server))
      await pause(SETTLE_MILLISECONDS)
      receivesNothing(scene, server, false)
      scene.heal(host, P)
    },
  },
  // Guards against a primary that goes on acknowledging for the hosts that reach it once another server was ordered.
  {
    name: 'a paused replica restarts beside a primary that only another host reaches',
    hosts: 5,
    isRelaying: true,
    play: async (scene, hosts) => {
      let orders = 0
      scene.promotionFault = () => {
        orders += 1
        return orders === 1 ? 'lost' : 'none'
      }
      const order = orderOf(scene)
      for (const host of hosts.slice(1)) scene.partition(host, P)
      const { server } = await inTime(order, 'a server is ordered to be promoted')
      const isStopped = (): boolean => scene.group.server(P).role === 'replica'
      await scene.until(isStopped, 'the primary has stepped down', SLOW_PROMOTION_MILLISECONDS)
      expect(scene.group.promotions).toEqual(0)
      receivesNothing(scene, server)
      scene.restart(otherReplica(server))
      await pause(2 * SLOW_PROMOTION_MILLISECONDS)
      receivesNothing(scene, server, false)
      for (const host of hosts) scene.heal(host, P)
    },
    options: { promotionMilliseconds: SLOW_PROMOTION_MILLISECONDS },
  },
  // Guards against a step-down that is answered by a server that has not led for a while.
  {
    name: 'the believed primary is a replica and the new one does not answer',
    hosts: 1,
    play: async (scene, [host]) => {
      if (host === undefined) return
      scene.partition(host, A)
      const order = orderOf(scene)
      scene.listServer(P, { isLeaving: true })
      await scene.until(() => eventsOf([host], 'change_claimed') > 0, 'the change is claimed')
      // An order of an earlier holder, carried out late.
      scene.group.promote(A, 1)
      const chosen = await Promise.race([order, pause(5000)])
      if (typeof chosen === 'object') receivesNothing(scene, chosen.server)
      await pause(SETTLE_MILLISECONDS)
      for (const server of scene.group.servers.keys()) receivesNothing(scene, server, false)
      scene.heal(host, A)
    },
  },
  // Guards against a primary that restarted without its log and is asked where its writes ended.
  {
    name: 'the primary restarts without its log and a replica is cut off from the host',
    hosts: 1,
    play: (scene, hosts, writes) => {
      writes.stop()
      return playEmptyPrimary(scene, hosts)
    },
  },
  // Guards against the same where its new log is longer than the others, although no replica has received it.
  {
    name: 'the primary restarts without its log and goes on writing while a replica is cut off from the host',
    hosts: 1,
    play: playEmptyPrimary,
  },
  // Guards against a replica without a log that is counted as one that has received nothing.
  {
    name: 'a replica restarts without its log while the primary is down',
    hosts: 1,
    play: async scene => {
      receivesNothing(scene, A)
      await pause(200)
      scene.crash(P)
      scene.restartEmpty(B)
      receivesNothing(scene, A, false)
      await pause(4000)
      scene.group.recover(scene.group.server(P))
    },
  },
  // Guards against writes that a replica acknowledges once its pause has ended, before the promotion takes effect.
  ...endsOfPause.map(([name, endPause]) => ({
    name: `a paused replica ${name} while the chosen one receives nothing`,
    hosts: 1,
    play: (scene: HostFixture) =>
      playLeaving(scene, chosen => {
        receivesNothing(scene, chosen)
        endPause(scene, otherReplica(chosen))
      }),
  })),
  // Guards against the same where the chosen replica is paused itself.
  ...endsOfPause.map(([name, endPause]) => ({
    name: `a replica that was behind ${name} while the chosen one is paused`,
    hosts: 1,
    play: async (scene: HostFixture) => {
      delayCandidate(scene)
      await playLeaving(scene, chosen => {
        receivesNothing(scene, otherReplica(chosen), false)
        endPause(scene, otherReplica(chosen))
      })
    },
  })),
]

describe('an acknowledged write is kept when', { concurrency: true }, () => {
  for (const each of cases) it(each.name, () => playCase(each))
})
