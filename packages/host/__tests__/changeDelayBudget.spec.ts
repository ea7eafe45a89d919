import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import { VirtualClock } from '@nutmegcourse/shared'
import type {
  DirectoryChange,
  DirectoryEvents,
  RevisedChange,
  FleetConfiguration,
  StoreFailure,
  StoreLink,
} from '@nutmegcourse/protocol'
import type { Result } from 'neverthrow'
import { changeDelayBudget, worstCaseChangeDelay } from '../src/changeDelayBudget.js'
import { StoreFollower } from '../src/storeFollower.js'
import { changeFeedWith, followerContext } from './support/followerContext.js'

describe('the worst-case delay of a change', () => {
  const bounds: readonly (readonly [number, string])[] = [
    [4000, 'the shortest known bound'],
    [6000, 'a longer bound'],
    [13_000, 'the bound of the largest fleet'],
  ]
  for (const [bound, name] of bounds) {
    it(`stays within ${name}`, () => {
      expect(worstCaseChangeDelay(changeDelayBudget(bound)) <= bound).toEqual(true)
    })
  }

  // Each watch that ends costs a call.
  it('allows long watches under a long bound', () => {
    expect(changeDelayBudget(13_000).storeWatch).toEqual(5000)
  })
})

// A host received a new route four seconds late, and refused its callers because the database was unknown to it. The
// store was about to compact its history: it reported the change to no host, cut all watches a second later, and
// accepted the next watch of some hosts although the change that it had to begin with was gone. Such a watch reports
// nothing until its end.

/** When the store makes the change and when it compacts its history, in milliseconds. */
const CHANGE_AT = 1100
const COMPACTS_AT = 2200

const CONFIGURATION: FleetConfiguration = {
  version: 7,
  routes: [],
  services: [],
  customers: [],
  idleTransactionMilliseconds: 3000,
}

/** A store in virtual time that compacts its history once, and reports it only at the end of a watch. */
class CompactingStore {
  readonly waits: number[] = []
  readonly #clock: VirtualClock
  /** When a change that is not urgent ends the first watch; unless callers wait, the host pauses before the next. */
  readonly #firstChangeAt: number | null

  constructor(clock: VirtualClock, firstChangeAt: number | null) {
    this.#clock = clock
    this.#firstChangeAt = firstChangeAt
  }

  list(): Result<DirectoryEvents & { next: null }, StoreFailure> {
    const isMade = this.#clock.now() >= CHANGE_AT
    const changes: RevisedChange[] = isMade
      ? [{ kind: 'configuration', configuration: CONFIGURATION, revision: 21 }]
      : []
    return ok({ changes, revision: isMade ? 21 : 20, next: null })
  }

  watch(revision: number, wait: number): Result<DirectoryEvents, StoreFailure> {
    this.waits.push(wait)
    const startedAt: number = this.#clock.now()
    const first = this.#firstChangeAt
    if (first !== null && startedAt < first && startedAt + wait >= first) {
      this.#clock.advance(first - startedAt)
      return ok({ changes: [{ kind: 'unreadable', key: 'x', detail: '', revision }], revision })
    }
    if (startedAt < COMPACTS_AT && startedAt + wait >= COMPACTS_AT) {
      this.#clock.advance(COMPACTS_AT - startedAt)
      return err({ kind: 'noAnswer', detail: 'the watch was cut' })
    }
    this.#clock.advance(wait)
    const isGone = this.#clock.now() >= COMPACTS_AT && revision < 21
    return isGone ? err({ kind: 'historyGone' }) : ok({ changes: [], revision })
  }
}

/** Returns when the host receives the configuration, and the requested waits of its watches. */
async function followCompactingStore(
  firstChangeAt: number | null,
  isAwaited = false,
): Promise<{ readonly at: number; readonly waits: readonly number[] }> {
  const clock = new VirtualClock()
  const store = new CompactingStore(clock, firstChangeAt)
  const link = {
    list: () => Promise.resolve(store.list()),
    watch: (revision: number, wait: number) => Promise.resolve(store.watch(revision, wait)),
    close: () => undefined,
  } as unknown as StoreLink
  return new Promise(resolve => {
    const takeChanges = (changes: readonly DirectoryChange[]): void => {
      if (!changes.some(change => change.kind === 'configuration')) return
      follower.stop()
      resolve({ at: clock.now(), waits: store.waits })
    }
    const context = followerContext(clock)
    const listener = { takeChanges, takeList: takeChanges, isUrgent: () => false, isAwaited }
    const follower = new StoreFollower(context, link, listener, changeFeedWith(context))
    void follower.run()
  })
}

describe('a change that the store did not report', () => {
  it('is received within the bound after it was made', async () => {
    const { at } = await followCompactingStore(null)
    expect(at - CHANGE_AT < 4000).toEqual(true)
  })

  it('is received soon after the cut, since the next watch is brief', async () => {
    const { at } = await followCompactingStore(null)
    expect(at - COMPACTS_AT < 1000).toEqual(true)
  })

  // All hosts start while the store is unavailable; the entries of servers expired and return one by one. A host that
  // batched after the first of them made its callers wait a second longer for the primary.
  it('is awaited without a batching pause while callers wait for it', async () => {
    const { waits } = await followCompactingStore(1000, true)
    expect(waits[1]).toEqual(waits[0])
  })

  it('is awaited by a brief watch after a batching pause', async () => {
    const { waits } = await followCompactingStore(1000)
    expect((waits[1] ?? 0) < (waits[0] ?? 0)).toEqual(true)
  })
})
