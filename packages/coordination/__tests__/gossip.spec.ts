import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { GroupRecord, GossipItem } from '@nutmegcourse/protocol'
import {
  backendServerId,
  databaseId,
  entryHostId,
  logPosition,
  term,
  type EntryHostId,
} from '@nutmegcourse/shared'
import {
  GossipCore,
  GossipDigest,
  GossipQueue,
  isNewerRecord,
  type GossipEffect,
} from '../src/index.js'

const PEER = entryHostId('peer')
const OTHER = entryHostId('other')

const drains = (version: number): GossipItem => ({
  kind: 'drains',
  drains: { version, backendServers: [] },
})

function group(name: string, termNumber: number, phase: GroupRecord['phase'], revision: number) {
  const leader = backendServerId('first')
  const record: GroupRecord = {
    database: databaseId(name),
    term: term(termNumber),
    primary: leader,
    phase,
    coordinator: null,
    attempt: null,
    termStarts: [{ term: term(termNumber), primary: leader, startsAfter: logPosition(0, 0) }],
  }
  return { kind: 'group', record, revision } as const
}

const STABLE = { kind: 'stable' } as const
const FENCING = { kind: 'fencing', target: null } as const
const MOVING = { kind: 'moving', target: backendServerId('second') } as const

const batchesTo = (effects: readonly GossipEffect[], peer: string) =>
  effects.flatMap(effect =>
    effect.kind === 'sendBatch' && effect.peer === peer ? [effect.items] : [],
  )

describe('GossipCore', () => {
  it('keeps the newest version of a key in whichever order the versions arrive', () => {
    const items = [1, 2, 3].map(drains)
    fc.assert(
      fc.property(fc.shuffledSubarray(items, { minLength: 1 }), order => {
        const core = new GossipCore()
        for (const item of order) core.handle({ kind: 'learned', item })
        const versions = order.map(item => (item.kind === 'drains' ? item.drains.version : 0))
        expect(core.get('drains')).toEqual(drains(Math.max(...versions)))
      }),
    )
  })

  const recordOrders = [
    { name: 'a later term', older: group('a', 1, STABLE, 9), newer: group('a', 2, FENCING, 0) },
    { name: 'a leader', older: group('a', 2, FENCING, 9), newer: group('a', 2, STABLE, 0) },
    { name: 'a started move', older: group('a', 2, STABLE, 3), newer: group('a', 2, MOVING, 4) },
    { name: 'an abandoned move', older: group('a', 2, MOVING, 4), newer: group('a', 2, STABLE, 5) },
  ]
  for (const { name, older, newer } of recordOrders) {
    it(`replaces the previous record by one with ${name}, as the failover state machine does`, () => {
      for (const order of [
        [older, newer],
        [newer, older],
      ]) {
        const core = new GossipCore()
        for (const item of order) core.handle({ kind: 'learned', item })
        expect(core.get('group/a')).toEqual(newer)
      }
      expect(isNewerRecord(newer, older)).toEqual(true)
      expect(isNewerRecord(older, newer)).toEqual(false)
    })
  }

  it('relays an item to every peer except its sender, and only once', () => {
    const core = new GossipCore()
    core.handle({ kind: 'peerConnected', peer: PEER })
    core.handle({ kind: 'peerConnected', peer: OTHER })
    const first = core.handle({ kind: 'batchReceived', peer: PEER, items: [drains(1)] })
    expect(batchesTo(first, PEER)).toEqual([])
    expect(batchesTo(first, OTHER)).toEqual([[drains(1)]])
    expect(core.handle({ kind: 'batchReceived', peer: OTHER, items: [drains(1)] })).toEqual([])
  })

  // A peer is slow to acknowledge a batch. Meanwhile only the newest version of each key is queued.
  it('keeps one batch in flight to a peer and sends only the newest versions after it', () => {
    const core = new GossipCore()
    core.handle({ kind: 'peerConnected', peer: PEER })
    const sent = [1, 2, 3, 4].flatMap(version =>
      batchesTo(core.handle({ kind: 'learned', item: drains(version) }), PEER),
    )
    expect(sent).toEqual([[drains(1)]])
    const next = core.handle({ kind: 'batchTaken', peer: PEER })
    expect(batchesTo(next, PEER)).toEqual([[drains(4)]])
    expect(core.handle({ kind: 'batchTaken', peer: PEER })).toEqual([])
  })

  it('finds items that a push missed by comparing digests, in both directions', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 0, max: 200 }), fc.integer({ min: 1, max: 5 }))),
        fc.array(fc.tuple(fc.integer({ min: 0, max: 200 }), fc.integer({ min: 1, max: 5 }))),
        (ours, theirs) => {
          const left = new GossipCore()
          const right = new GossipCore()
          for (const [name, revision] of ours) {
            left.handle({ kind: 'learned', item: group(`db-${name}`, 1, STABLE, revision) })
          }
          for (const [name, revision] of theirs) {
            right.handle({ kind: 'learned', item: group(`db-${name}`, 1, STABLE, revision) })
          }
          synchronise(left, right)
          expect(left.root).toEqual(right.root)
          expect([...left.items()].length).toEqual([...right.items()].length)
        },
      ),
      { seed: 20, numRuns: 100 },
    )
  })

  it('relays a few items found by a comparison, like the push that did not reach this host', () => {
    const core = new GossipCore()
    core.handle({ kind: 'peerConnected', peer: PEER })
    core.handle({ kind: 'peerConnected', peer: OTHER })
    const effects = core.handle({ kind: 'fetched', peer: PEER, items: [drains(3)] })
    expect([batchesTo(effects, PEER), batchesTo(effects, OTHER)]).toEqual([[], [[drains(3)]]])
  })

  // A host that has just started differs from all its neighbours and would otherwise fetch the whole
  // state from each of them.
  it('fetches the whole state from one neighbour at a time, and relays none of it', () => {
    const full = new GossipCore()
    for (let name = 0; name < 600; name += 1) {
      full.handle({ kind: 'learned', item: group(`db-${name}`, 1, STABLE, 1) })
    }
    const newHost = new GossipCore()
    newHost.handle({ kind: 'peerConnected', peer: PEER })
    newHost.handle({ kind: 'peerConnected', peer: OTHER })
    const first = newHost.handle({ kind: 'rootHeard', peer: PEER, root: full.root })
    const second = newHost.handle({ kind: 'rootHeard', peer: OTHER, root: full.root })
    expect([first.length, second.length]).toEqual([1, 0])
    const versions = full.differingVersions(new GossipDigest().buckets())
    const fetches = newHost.handle({ kind: 'compared', peer: PEER, versions })
    expect(fetches.map(effect => effect.kind)).toEqual(['fetch', 'fetch', 'fetch'])
    const taken = newHost.handle({ kind: 'fetched', peer: PEER, items: [...full.items()] })
    expect(taken.every(effect => effect.kind === 'changed')).toEqual(true)
    for (const fetch of fetches) {
      expect(newHost.handle({ kind: 'rootHeard', peer: OTHER, root: 1 })).toEqual([])
      if (fetch.kind === 'fetch') newHost.handle({ kind: 'fetchEnded', peer: PEER })
    }
    expect(newHost.handle({ kind: 'rootHeard', peer: OTHER, root: 1 }).length).toEqual(1)
  })

  it('does not start a comparison for a difference that a push in progress may resolve', () => {
    const core = new GossipCore()
    core.handle({ kind: 'peerConnected', peer: PEER })
    core.handle({ kind: 'rootHeard', peer: PEER, root: core.root })
    core.handle({ kind: 'learned', item: drains(1) })
    expect(core.handle({ kind: 'rootHeard', peer: PEER, root: 1 })).toEqual([])
    const again = core.handle({ kind: 'rootHeard', peer: PEER, root: 1 })
    expect(again.map(effect => effect.kind)).toEqual(['compare'])
  })
})

describe('GossipQueue', () => {
  // One receiver is slow: 1,000 changes of 10 keys arrive while it receives one batch of 64.
  const policies = [
    { name: 'replacing older items', replaceOlder: true, limit: 64, length: 10, dropped: 0 },
    { name: 'keeping every item', replaceOlder: false, limit: 64, length: 64, dropped: 936 },
  ]
  for (const { name, replaceOlder, limit, length, dropped } of policies) {
    it(`when ${name}, holds ${length} items and drops ${dropped}`, () => {
      const queue = new GossipQueue({ limit, replaceOlder })
      for (let change = 0; change < 1000; change += 1) {
        queue.push(group(`db-${change % 10}`, 1, STABLE, change))
      }
      expect([queue.length, queue.dropped]).toEqual([length, dropped])
    })
  }

  it('neither delays other keys nor starves a key that changes constantly', () => {
    const queue = new GossipQueue({ limit: 10, replaceOlder: true })
    queue.push(group('busy', 1, STABLE, 1))
    queue.push(group('quiet', 1, STABLE, 1))
    queue.push(group('busy', 1, STABLE, 2))
    expect(queue.take(1)).toEqual([group('busy', 1, STABLE, 2)])
    queue.push(group('busy', 1, STABLE, 3))
    expect(queue.take(1)).toEqual([group('quiet', 1, STABLE, 1)])
  })
})

/** Each side compares once with the other, over a lossless link. */
function synchronise(left: GossipCore, right: GossipCore): void {
  left.handle({ kind: 'peerConnected', peer: PEER })
  right.handle({ kind: 'peerConnected', peer: OTHER })
  compareOnce(left, PEER, right)
  compareOnce(right, OTHER, left)
}

function compareOnce(core: GossipCore, peer: EntryHostId, other: GossipCore): void {
  const pending = [...core.handle({ kind: 'rootHeard', peer, root: other.root })]
  for (let effect = pending.shift(); effect !== undefined; effect = pending.shift()) {
    if (effect.kind === 'compare') {
      const versions = other.differingVersions(effect.buckets)
      pending.push(...core.handle({ kind: 'compared', peer, versions }))
    } else if (effect.kind === 'fetch') {
      pending.push(...core.handle({ kind: 'fetched', peer, items: other.itemsOf(effect.keys) }))
      pending.push(...core.handle({ kind: 'fetchEnded', peer }))
    }
  }
}
