import { describe, it } from 'node:test'
import { expect } from 'earl'
import { attemptId, logPosition } from '@nutmegcourse/shared'
import {
  changeKey,
  membersKey,
  readMemberRecord,
  unfinishedKey,
  writeMemberRecord,
  writeRecord,
} from '@nutmegcourse/coordination'
import { freePorts } from '@nutmegcourse/stand-ins'
import {
  A,
  B,
  P,
  SERVICE,
  withHostFixture,
  type FixtureHost,
  type HostFixture,
} from './support/hostFixture.js'

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

const linesOf = ({ hosts }: HostFixture, event: string) =>
  hosts.flatMap(({ lines }) => lines.filter(line => line.event === event))

/** A host that has just started replaces no silent primary, since its list may still lack live servers. */
const LIST_COMPLETE_MILLISECONDS = 3000

/** Hosts keep a server for a little longer after its entry is gone. */
const ENTRY_GRACE_MILLISECONDS = 3800

/** Longer than a lease, a host's rank, and the time after which a claim is made again. */
const NEXT_CHANGE_MILLISECONDS = 12_000

describe('a change of primary that ended before it was done', () => {
  // Guards against a group without a primary: the old one has stepped down, and the store was restored from a copy that
  // has neither the claim nor the record that the change is unfinished.
  it('is continued after the store was restored from an older copy', async () => {
    await withHostFixture(2, async scene => {
      const copy = scene.store.snapshot()
      scene.promotionFault = () => 'noAnswer'
      scene.listServer(P, { isLeaving: true })
      const isOrdered = (): boolean => linesOf(scene, 'promotion_ordered').length > 0
      await scene.until(isOrdered, 'a promotion is ordered')
      scene.store.restore(copy)
      scene.listServer(P, { isLeaving: true })
      const isKnown = (): boolean => linesOf(scene, 'store_restored').length === 2
      await scene.until(isKnown, 'the hosts know that the store was restored')
      const hasEnded = (): boolean => linesOf(scene, 'claim_lost').length > 0
      await scene.until(hasEnded, 'the claim has ended', NEXT_CHANGE_MILLISECONDS)
      await wait(200)
      scene.promotionFault = () => 'none'
      const leads = (): boolean =>
        [...scene.group.servers.values()].some(({ role }) => role === 'primary')
      await scene.until(leads, 'a server leads', NEXT_CHANGE_MILLISECONDS)
    })
  })

  // Guards against a late order of a holder of an earlier version, which writes no record of an unfinished change.
  it('counts as unfinished if its holder was of an earlier version', async () => {
    await withHostFixture(2, async scene => {
      const lease = scene.store.grantLease(4000)
      const attempt = attemptId('host-0/1/1')
      const value = writeRecord({ phase: 'claimed', holder: 'host-0', attempt })
      const key = changeKey(SERVICE)
      scene.store.change({ expected: [], puts: [{ key, value, lease }], removes: [] })
      await wait(300)
      scene.store.change({ expected: [], puts: [], removes: [key] })
      const claims = () => linesOf(scene, 'change_claimed')
      await scene.until(() => claims().length > 0, 'a host claims the change')
      expect(claims()[0]?.fields.hasUnfinishedOrder).toEqual(true)
    })
  })
})

describe('a change of primary whose choice lacks what a replica was seen to have', () => {
  const SEEN = { server: B, at: logPosition(1, 1000) }
  const waitsForLog =
    ({ lines }: FixtureHost) =>
    (): boolean =>
      lines.some(({ event, fields }) => event === 'change_waits' && fields.kind === 'shortLog')

  // Guards against a holder that does not know what the one before it had seen.
  it('waits for what the last holder of the claim left', async () => {
    await withHostFixture(1, async (scene, [host]) => {
      if (host === undefined) return
      const attempt = attemptId('host-0/1/1')
      const value = writeRecord({ holder: 'host-0', attempt, received: SEEN })
      const key = unfinishedKey(SERVICE)
      scene.crash(P)
      scene.store.change({ expected: [], puts: [{ key, value, lease: 0 }], removes: [] })
      await scene.until(waitsForLog(host), 'the choice waits', NEXT_CHANGE_MILLISECONDS)
      expect(linesOf(scene, 'promotion_ordered')).toEqual([])
    })
  })

  // Guards against a holder that does not request the positions that other hosts know.
  it('waits for what another host has seen', async () => {
    const relayPorts = await freePorts(2)
    await withHostFixture(
      2,
      async (scene, [host, other]) => {
        if (host === undefined || other === undefined) return
        other.host.find('own')?.service.received.recordReplica(SEEN.server, SEEN.at)
        // It can not claim the change itself.
        other.store.behaviour = 'silent'
        scene.crash(P)
        await scene.until(waitsForLog(host), 'the choice waits', NEXT_CHANGE_MILLISECONDS)
        expect(linesOf(scene, 'promotion_ordered')).toEqual([])
      },
      { relayPorts },
    )
  })
})

describe('a group whose primary is gone when all hosts start', () => {
  // Guards against a group that stays without a primary: no host has seen one, so none suspects it.
  it('gets a new primary', async () => {
    await withHostFixture(0, async scene => {
      scene.crash(P)
      scene.store.unlistServer(P)
      for (const host of ['host-1', 'host-2']) scene.add(host)
      await scene.ready()
      const leads = (): boolean => [A, B].some(id => scene.group.server(id).role === 'primary')
      await scene.until(leads, 'a server leads', NEXT_CHANGE_MILLISECONDS)
    })
  })
})

describe('a group whose primary is dead and no longer listed', () => {
  // Guards against a replica that is promoted although another one, which no host reaches, has more acknowledged writes:
  // the primary counts as missing also when its entry is gone.
  it('gets no primary that lacks acknowledged writes while a replica is out of reach', async () => {
    await withHostFixture(1, async (scene, [host]) => {
      if (host === undefined) return
      scene.group.pause(scene.group.server(A), 2)
      scene.group.commit(scene.group.primary, ['only at b'])
      scene.partition(host, B)
      scene.crash(P)
      scene.store.unlistServer(P)
      scene.group.resume(scene.group.server(A))
      await wait(NEXT_CHANGE_MILLISECONDS)
      expect(scene.group.violations).toEqual([])
    })
  })
})

describe('a leaving replica that has ended', () => {
  // Guards against a group that waits for a replica that does not return, although the others hold its writes.
  it('does not delay the replacement of a dead primary', async () => {
    await withHostFixture(2, async (scene, hosts) => {
      const [host] = hosts
      if (host === undefined) return
      scene.listServer(B, { isLeaving: true })
      await wait(LIST_COMPLETE_MILLISECONDS)
      scene.crash(B)
      scene.store.unlistServer(B)
      const isUnlisted = (): boolean => linesOf(scene, 'server_unlisted').length === hosts.length
      await scene.until(isUnlisted, 'the hosts know that the entry is gone')
      for (const each of hosts) await (await scene.caller(each, 'latest')).outcomeOf('write 1')
      scene.crash(P)
      const leads = (): boolean => scene.group.server(A).role === 'primary'
      await scene.until(leads, 'the other replica leads', 2000)
    })
  })
})

describe('a change of primary that waits for servers which may return', () => {
  // Guards against a group that stays without a primary for as long as the holder itself has to miss them, which may have
  // started just now.
  it('goes on once another host has found that they ended', async () => {
    await withHostFixture(1, async (scene, [host]) => {
      if (host === undefined) return
      await wait(LIST_COMPLETE_MILLISECONDS)
      for (const server of [P, B]) {
        scene.crash(server)
        scene.store.unlistServer(server)
      }
      const waits = (): boolean =>
        linesOf(scene, 'change_waits').some(({ fields }) => fields.kind === 'unknownReplica')
      await scene.until(waits, 'the change waits', NEXT_CHANGE_MILLISECONDS)
      const key = membersKey(SERVICE)
      const record = readMemberRecord(SERVICE, scene.store.record(key)?.value ?? '')
      const members = (record?.members ?? []).map(member => ({
        ...member,
        hasEnded: member.entry.server !== A,
      }))
      const value = writeMemberRecord({ era: record?.era ?? 0, members })
      scene.store.change({ expected: [], puts: [{ key, value, lease: 0 }], removes: [] })
      const leads = (): boolean => scene.group.server(A).role === 'primary'
      await scene.until(leads, 'the other replica leads', 2000)
    })
  })
})

describe('a host that has just started', () => {
  // Guards against a host that replaces a live primary which it does not know, since its entry has lapsed.
  it('names no primary while another host reaches one', async () => {
    await withHostFixture(1, async scene => {
      scene.store.unlistServer(P)
      scene.add('host-2')
      await scene.ready()
      const [first] = scene.hosts
      if (first === undefined) return
      const caller = await scene.caller(first, 'latest')
      const until = performance.now() + ENTRY_GRACE_MILLISECONDS
      while (performance.now() < until) {
        await caller.outcomeOf('write 1')
        await wait(50)
      }
      scene.listServer(P)
      await wait(500)
      expect(linesOf(scene, 'change_claimed').map(({ fields }) => fields.reason)).toEqual([])
    })
  })
})
