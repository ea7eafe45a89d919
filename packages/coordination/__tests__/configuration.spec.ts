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

/** One key of a store with its revision; tests can restore an older copy of it. */
class FakeStore {
  document: VersionedTargets | null = null
  revision = 0

  /** Returns false if the revision has changed. */
  compareAndSwap(document: VersionedTargets, expectedRevision: number): boolean {
    if (expectedRevision !== this.revision) return false
    this.document = document
    this.revision += 1
    return true
  }
}

class TestHost {
  readonly core = new ConfigurationCore()
  readonly #clock: VirtualClock
  readonly #peers: TestHost[] = []

  constructor(clock: VirtualClock) {
    this.#clock = clock
  }

  linkWith(other: TestHost): void {
    this.#peers.push(other)
    other.#peers.push(this)
  }

  /** Reads the store and applies the resulting effects, which may write to the store. */
  readStore(store: FakeStore): void {
    const { document, revision } = store
    this.handle({ kind: 'storeAnswered', document, revision, askedAt: this.#clock.now() }, store)
  }

  requestConfirmation(peer: TestHost): void {
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
        store?.compareAndSwap(effect.document, effect.expectedRevision)
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

function start(): { clock: VirtualClock; store: FakeStore; first: TestHost; second: TestHost } {
  const clock = new VirtualClock(100_000)
  const store = new FakeStore()
  const first = new TestHost(clock)
  const second = new TestHost(clock)
  first.linkWith(second)
  return { clock, store, first, second }
}

describe('configuration', () => {
  // Two operators change the same targets based on the same version. One compare-and-swap succeeds, the
  // other operator gets a conflict, and no host applies the rejected change.
  it('applies the accepted one of two concurrent changes', () => {
    const { store, first, second } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
    first.readStore(store)
    const outcomes = [
      store.compareAndSwap(documentOf(2, 'ours'), 1),
      store.compareAndSwap(documentOf(2, 'theirs'), 1),
    ]
    first.readStore(store)
    second.readStore(store)
    expect(outcomes).toEqual([true, false])
    expect([first.change, second.change]).toEqual(['ours', 'ours'])
  })

  // The change took effect, but its answer was lost. Hosts apply it like any other, identified by its id.
  it('treats a change whose answer was lost as accepted', () => {
    const { store, first } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
    store.compareAndSwap(documentOf(2, 'mine'), 1)
    first.readStore(store)
    expect(store.document?.changeId).toEqual('mine')
    expect(first.change).toEqual('mine')
  })

  // The store is unavailable for a long time. Hosts keep their targets and report them as unconfirmed;
  // a replacement host receives them from a peer.
  it('keeps the newest targets and sends them to peers during a long store outage', () => {
    const { clock, store, first } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
    store.compareAndSwap(documentOf(2, 'newer'), 1)
    first.readStore(store)
    clock.advance(3_600_000)
    const newHost = new TestHost(clock)
    if (first.core.newest !== null) newHost.handle({ kind: 'learned', document: first.core.newest })
    newHost.requestConfirmation(first)
    expect([newHost.version, newHost.confirmed, first.confirmed]).toEqual([2, false, false])
    first.readStore(store)
    newHost.requestConfirmation(first)
    expect([first.confirmed, newHost.confirmed]).toEqual([true, true])
  })

  // The store lost its newest writes and was restored from an older copy. Without a repair the fleet
  // would return to targets that an operator had replaced.
  it('writes the newest document back to a store that was restored from an older copy', () => {
    const { store, first, second } = start()
    for (const version of [1, 2, 3]) {
      store.compareAndSwap(documentOf(version, `change-${version}`), version - 1)
      first.readStore(store)
    }
    store.document = documentOf(1, 'change-1')
    store.revision = 1
    second.readStore(store)
    first.readStore(store)
    expect([first.version, second.version, store.document.version]).toEqual([3, 3, 3])
    expect(store.document.changeId).toEqual('change-3')
  })

  // An operator changed the targets on top of the restored copy before any host had repaired it. That
  // change was accepted too: it must neither be lost nor be ignored because of its lower version.
  it('gives a change made on top of a restored copy a version above all others', () => {
    const { store, first, second } = start()
    for (const version of [1, 2, 3]) {
      store.compareAndSwap(documentOf(version, `change-${version}`), version - 1)
      first.readStore(store)
    }
    store.document = documentOf(1, 'change-1')
    store.revision = 1
    store.compareAndSwap(documentOf(2, 'made-on-old-copy'), 1)
    first.readStore(store)
    first.readStore(store)
    expect([first.change, second.change]).toEqual(['made-on-old-copy', 'made-on-old-copy'])
    expect([first.version, store.document.version]).toEqual([4, 4])
  })

  // A host that started after the versions on the restored copy were written knows their change ids only
  // from the history that the newest document carries.
  for (const { name, stored, change } of [
    { name: 'an older copy', stored: documentOf(2, 'second'), change: 'third' },
    { name: 'a change on top of an older copy', stored: documentOf(2, 'other'), change: 'other' },
  ]) {
    it(`recognises ${name} by the history in the newest document`, () => {
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

  it('does not adopt an older version from a peer', () => {
    const { first, second, store } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
    store.compareAndSwap(documentOf(2, 'newer'), 1)
    first.readStore(store)
    second.handle({ kind: 'learned', document: documentOf(1, 'base') })
    expect([first.version, second.version]).toEqual([2, 2])
  })

  // A zone is cut off while an operator changes the targets. The hosts in it cannot know of the change;
  // they report their targets as unconfirmed within the time limit, and from then on do not use
  // what the last change they received had loosened.
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
      name: 'retries',
      before: { idempotent: false },
      after: { idempotent: true },
      unconfirmed: gallery({ idempotent: false }),
    },
    {
      name: 'only fresher data',
      before: { freshnessMilliseconds: 5000 },
      after: { freshnessMilliseconds: 500 },
      unconfirmed: gallery({ freshnessMilliseconds: 500 }),
    },
  ]
  for (const { name, before, after, unconfirmed } of loosenings) {
    it(`applies the stricter targets while the last change, which allowed ${name}, is not confirmed`, () => {
      const { clock, store, first } = start()
      store.compareAndSwap(documentOf(1, 'base', before), 0)
      first.readStore(store)
      store.compareAndSwap(documentOf(2, 'last', after), 1)
      first.readStore(store)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([gallery(after)])
      clock.advance(13_001)
      expect(first.confirmed).toEqual(false)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([unconfirmed])
      first.readStore(store)
      expect(first.core.inForce(clock.now())?.targets.classes).toEqual([gallery(after)])
    })
  }

  it('reports once that the targets are no longer confirmed', () => {
    const { clock, store, first } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
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
    {
      name: 'the same document',
      version: 2,
      changeId: 'newer',
      askedBefore: 0,
      age: 12_000,
      ok: true,
    },
    {
      name: 'the same document, too old',
      version: 2,
      changeId: 'newer',
      askedBefore: 0,
      age: 14_000,
      ok: false,
    },
    // The answer was delayed in a stalled process; its age does not include that delay.
    {
      name: 'the same document, delayed',
      version: 2,
      changeId: 'newer',
      askedBefore: 14_000,
      age: 0,
      ok: false,
    },
  ]
  for (const { name, version, changeId, askedBefore, age, ok } of confirmations) {
    it(`treats a peer's answer about ${name} as ${ok ? 'a confirmation' : 'no confirmation'}`, () => {
      const { clock, first } = start()
      first.handle({ kind: 'learned', document: documentOf(2, 'newer') })
      const askedAt = milliseconds(clock.now() - askedBefore)
      const named = { version, changeId }
      first.handle({ kind: 'peerConfirmed', name: named, ageMilliseconds: age, askedAt })
      expect(first.confirmed).toEqual(ok)
    })
  }

  it('keeps its targets and writes them back when the store has none', () => {
    const { store, first } = start()
    store.compareAndSwap(documentOf(1, 'base'), 0)
    first.readStore(store)
    store.document = null
    store.revision = 0
    first.readStore(store)
    expect(first.version).toEqual(1)
    expect((store.document as VersionedTargets | null)?.changeId).toEqual('base')
    expect(first.freshness).toEqual(1000)
  })
})
