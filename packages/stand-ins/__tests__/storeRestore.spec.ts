import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { eraOf, revisionWithinEra, storeRevision } from '@nutmegcourse/protocol'
import { MemoryStore, type StoreSnapshot } from '../src/index.js'

describe('storeRevision', () => {
  const cases: readonly (readonly [number, number])[] = [
    [0, 1],
    [0, 412],
    [1, 1],
    [7, 2 ** 39],
  ]
  for (const [era, withinEra] of cases) {
    it(`encodes era ${String(era)} and revision ${String(withinEra)} without loss`, () => {
      const revision = storeRevision(era, withinEra)
      expect([eraOf(revision), revisionWithinEra(revision)]).toEqual([era, withinEra])
    })
  }

  it('keeps 0, the revision of a missing key, in every era', () => {
    expect(storeRevision(3, 0)).toEqual(0)
  })
})

type Step = 'claim' | 'copy' | 'restore'

describe('a store restored from a snapshot', () => {
  // The revision of a claim is the fencing token of its holder. A restored store assigns revisions again; without
  // eras two holders could get the same token and both promote a server.
  it('gives each claim a greater revision than all earlier ones', () => {
    const step = fc.constantFrom<Step>('claim', 'claim', 'claim', 'copy', 'restore')
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const store = new MemoryStore()
        let copy: StoreSnapshot = store.snapshot()
        let last = 0
        for (const each of steps) {
          if (each === 'copy') copy = store.snapshot()
          if (each === 'restore') store.restore(copy)
          if (each !== 'claim') continue
          const made = store.change({
            expected: [],
            puts: [{ key: 'change/db-1', value: 'claim', lease: 0 }],
            removes: [],
          })
          if (made.kind !== 'made' || made.revision <= last) return false
          last = made.revision
        }
        return true
      }),
      { numRuns: 300, seed: 28 },
    )
  })

  it('rejects leases and watches from before the restore', () => {
    const store = new MemoryStore()
    const copy = store.snapshot()
    const lease = store.grantLease(60_000)
    const { revision } = store
    store.restore(copy)
    expect(store.renewLease(lease)).toEqual(false)
    expect(store.eventsAfter(revision).isErr()).toEqual(true)
  })
})
