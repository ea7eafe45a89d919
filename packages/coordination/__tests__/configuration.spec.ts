import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { ClassTargets, VersionedTargets } from '@nutmegcourse/protocol'
import { VirtualClock, className, milliseconds } from '@nutmegcourse/shared'
import { ConfigurationCore, type ConfigurationMessage } from '../src/index.js'

const gallery = (changes: Partial<ClassTargets> = {}): ClassTargets => ({
  name: className('gallery'),
  access: 'read',
  idempotent: true,
  freshnessMilliseconds: 1000,
  latencyMilliseconds: 200,
  replicaReadShare: 0.5,
  ...changes,
})

const documentOf = (
  version: number,
  changeId: string,
  changes: Partial<ClassTargets> = {},
): VersionedTargets => ({
  version,
  changeId,
  changedBy: 'operator',
  recentChangeIds: [],
  targets: { service: 'salon-db', classes: [gallery(changes)], defaults: [] },
})

/** One key of a store that keeps its revision, and can be set back to an older copy. */
class FakeStore {
  document: VersionedTargets | null = null
  revision = 0

  /** A compare-and-swap; false when it lost. */
  swap(document: VersionedTargets, expectedRevision: number): boolean {
    if (expectedRevision !== this.revision) return false
    this.document = document
    this.revision += 1
    return true
  }
}

class HostFixture {
  readonly core = new ConfigurationCore()
  readonly #clock: VirtualClock
  readonly #peers: HostFixture[] = []

  constructor(clock: VirtualClock) {
    this.#clock = clock
  }

  linkWith(other: HostFixture): void {
    this.#peers.push(other)
    other.#peers.push(this)
  }

  /** Reads the store, carries out what follows, and says whether the store was changed by it. */
  readStore(store: FakeStore): void {
    const { document, revision } = store
    this.handle({ kind: 'storeAnswered', document, revision, askedAt: this.#clock.now() }, store)
  }

  requestConfirmation(peer: HostFixture): void {
    const age = peer.core.confirmationAge(this.#clock.now())
    const { newest } = peer.core
    if (newest === null || age === null) return
    const { version, changeId } = newest
    const name = { version, changeId }
    const askedAt = this.#clock.now()
    this.handle({ kind: 'peerConfirmed', name, ageMilliseconds: age, askedAt })
  }

  handle(message: ConfigurationMessage, store: FakeStore | null = null): void {
    for (const effect of this.core.handle(message, this.#clock.now())) {
      if (effect.kind === 'adopt') {
        for (const peer of this.#peers) peer.handle({ kind: 'learned', document: effect.document })
      }
      if (effect.kind === 'repairStore') {
        store?.swap(effect.document, effect.expectedRevision)
        this.handle({ kind: 'repairEnded' })
      }
    }
  }

  get version(): number | null {
    return this.core.newest?.version ?? null
  }

  get change(): string | null {
    return this.core.newest?.changeId ?? null
  }

  get confirmed(): boolean {
    return this.core.confirmed(this.#clock.now())
  }

  get freshness(): number | undefined {
    return this.core.inForce(this.#clock.now())?.targets.classes[0]?.freshnessMilliseconds
  }
}

function start(): {
  clock: VirtualClock
  store: FakeStore
  first: HostFixture
  second: HostFixture
} {
  const clock = new VirtualClock(100_000)
  const store = new FakeStore()
  const first = new HostFixture(clock)
  const second = new HostFixture(clock)
  first.linkWith(second)
  return { clock, store, first, second }
}

describe('configuration', () => {
  // Two operators change the same targets from the same version. One swap wins; the other's
  // operator gets a conflict. No host ever runs the loser's.
  it('follows the winner of two operators', () => {
    const { store, first, second } = start()
    store.swap(documentOf(1, 'base'), 0)
    first.readStore(store)
    const outcomes = [store.swap(documentOf(2, 'ours'), 1), store.swap(documentOf(2, 'theirs'), 1)]
    first.readStore(store)
    second.readStore(store)
    expect(outcomes).toEqual([true, false])
    expect([first.change, second.change]).toEqual(['ours', 'ours'])
  })

  // The change took effect, its answer was lost, and the operator sent it again on top of what then
  // stood there. Readers see one change, by its id.
  it('sees a change whose answer was lost as accepted', () => {
    const { store, first } = start()
    store.swap(documentOf(1, 'base'), 0)
    store.swap(documentOf(2, 'mine'), 1)
    first.readStore(store)
    expect(store.document?.changeId).toEqual('mine')
    expect(first.change).toEqual('mine')
  })

  // The store is out for long. Hosts keep what they have and say that they cannot confirm it; a
  // host replaced meanwhile gets it from a peer.
  it('keeps and hands over the newest through a long outage', () => {
    const { clock, store, first } = start()
    store.swap(documentOf(1, 'base'), 0)
    store.swap(documentOf(2, 'newer'), 1)
    first.readStore(store)
    clock.advance(3_600_000)
    const replaced = new HostFixture(clock)
    if (first.core.newest !== null)
      replaced.handle({ kind: 'learned', document: first.core.newest })
    replaced.requestConfirmation(first)
    expect([replaced.version, replaced.confirmed, first.confirmed]).toEqual([2, false, false])
    first.readStore(store)
    replaced.requestConfirmation(first)
    expect([first.confirmed, replaced.confirmed]).toEqual([true, true])
  })

  // The store's host lost its newest writes and came back with an older copy. Read naively, the
  // fleet would go back to targets that an operator had replaced.
  it('puts the newest back into a store that was restored from an older copy', () => {
    const { store, first, second } = start()
    for (const version of [1, 2, 3]) {
      store.swap(documentOf(version, `change-${version}`), version - 1)
      first.readStore(store)
    }
    store.document = documentOf(1, 'change-1')
    store.revision = 1
    second.readStore(store)
    first.readStore(store)
    expect([first.version, second.version, store.document.version]).toEqual([3, 3, 3])
    expect(store.document.changeId).toEqual('change-3')
  })

  // An operator changed the targets on top of the restored copy before any host had mended it. That
  // change was accepted too: it must neither be lost nor hide behind a version the fleet is past.
  it('moves a change made on top of a restored copy above all versions', () => {
    const { store, first, second } = start()
    for (const version of [1, 2, 3]) {
      store.swap(documentOf(version, `change-${version}`), version - 1)
      first.readStore(store)
    }
    store.document = documentOf(1, 'change-1')
    store.revision = 1
    store.swap(documentOf(2, 'made-on-old-copy'), 1)
    first.readStore(store)
    first.readStore(store)
    expect([first.change, second.change]).toEqual(['made-on-old-copy', 'made-on-old-copy'])
    expect([first.version, store.document.version]).toEqual([4, 4])
  })

  // The same, seen by a host that began after the restored versions: it knows them from the history
  // that the newest document carries.
  for (const { name, stored, change } of [
    { name: 'an older copy', stored: documentOf(2, 'second'), change: 'third' },
    { name: 'a change on top of one', stored: documentOf(2, 'other'), change: 'other' },
  ]) {
    it(`tells ${name} by the newest document's history`, () => {
      const { store, first } = start()
      const recentChangeIds = ['first', 'second']
      first.handle({ kind: 'learned', document: { ...documentOf(3, 'third'), recentChangeIds } })
      store.document = stored
      store.revision = 5
      first.readStore(store)
      first.readStore(store)
      expect([first.change, store.document.changeId]).toEqual([change, change])
    })
  }

  it('does not bring back an old version that a peer still holds', () => {
    const { first, second, store } = start()
    store.swap(documentOf(1, 'base'), 0)
    store.swap(documentOf(2, 'newer'), 1)
    first.readStore(store)
    second.handle({ kind: 'learned', document: documentOf(1, 'base') })
    expect([first.version, second.version]).toEqual([2, 2])
  })

  // A zone is cut off while an operator changes the targets. The cut-off hosts cannot know, say so
  // within the bound, and meanwhile do not use what the last change they saw had loosened.
  const loosenings: readonly {
    readonly name: string
    readonly before: Partial<ClassTargets>
    readonly after: Partial<ClassTargets>
    readonly unconfirmed: ClassTargets
  }[] = [
    {
      name: 'older data',
      before: { freshnessMilliseconds: 500 },
      after: { freshnessMilliseconds: 5000 },
      unconfirmed: gallery({ freshnessMilliseconds: 500 }),
    },
    {
      name: 'more reads on replicas',
      before: { replicaReadShare: 0.2 },
      after: { replicaReadShare: 0.9 },
      unconfirmed: gallery({ replicaReadShare: 0.2 }),
    },
    {
      name: 'slower answers',
      before: { latencyMilliseconds: 100 },
      after: { latencyMilliseconds: 900 },
      unconfirmed: gallery({ latencyMilliseconds: 100 }),
    },
    {
      name: 'repetition',
      before: { idempotent: false },
      after: { idempotent: true },
      unconfirmed: gallery({ idempotent: false }),
    },
    {
      name: 'nothing, but tightened freshness',
      before: { freshnessMilliseconds: 5000 },
      after: { freshnessMilliseconds: 500 },
      unconfirmed: gallery({ freshnessMilliseconds: 500 }),
    },
  ]
  for (const { name, before, after, unconfirmed } of loosenings) {
    it(`keeps to the stricter when the last change allowed ${name} and is not confirmed`, () => {
      const { clock, store, first } = start()
      store.swap(documentOf(1, 'base', before), 0)
      first.readStore(store)
      store.swap(documentOf(2, 'last', after), 1)
      first.readStore(store)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([gallery(after)])
      clock.advance(13_001)
      expect(first.confirmed).toEqual(false)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([unconfirmed])
      first.readStore(store)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([gallery(after)])
    })
  }

  it('reports once when it can no longer confirm', () => {
    const { clock, store, first } = start()
    store.swap(documentOf(1, 'base'), 0)
    first.readStore(store)
    const reports: boolean[] = []
    for (const span of [12_000, 2000, 2000]) {
      clock.advance(span)
      for (const effect of first.core.handle({ kind: 'tick' }, clock.now())) {
        if (effect.kind === 'confirmationChanged') reports.push(effect.confirmed)
      }
    }
    expect(reports).toEqual([false])
  })

  const confirmations = [
    { name: 'another version', version: 1, changeId: 'base', askedBefore: 0, age: 0, ok: false },
    { name: 'another change', version: 2, changeId: 'other', askedBefore: 0, age: 0, ok: false },
    { name: 'the same', version: 2, changeId: 'newer', askedBefore: 0, age: 12_000, ok: true },
    {
      name: 'the same, too old',
      version: 2,
      changeId: 'newer',
      askedBefore: 0,
      age: 14_000,
      ok: false,
    },
    // The answer lay in a frozen process: its age says nothing of the time it lay there.
    {
      name: 'the same, held up',
      version: 2,
      changeId: 'newer',
      askedBefore: 14_000,
      age: 0,
      ok: false,
    },
  ]
  for (const { name, version, changeId, askedBefore, age, ok } of confirmations) {
    it(`takes a peer's word for ${name} as ${ok ? 'confirmation' : 'none'}`, () => {
      const { clock, first } = start()
      first.handle({ kind: 'learned', document: documentOf(2, 'newer') })
      const askedAt = milliseconds(clock.now() - askedBefore)
      const named = { version, changeId }
      first.handle({ kind: 'peerConfirmed', name: named, ageMilliseconds: age, askedAt })
      expect(first.confirmed).toEqual(ok)
    })
  }

  it('keeps its targets when the store has none', () => {
    const { store, first } = start()
    store.swap(documentOf(1, 'base'), 0)
    first.readStore(store)
    store.document = null
    store.revision = 0
    first.readStore(store)
    expect(first.version).toEqual(1)
    expect((store.document as VersionedTargets | null)?.changeId).toEqual('base')
    expect(first.freshness).toEqual(1000)
  })
})
