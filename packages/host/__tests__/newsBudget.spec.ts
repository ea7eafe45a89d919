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
import { changeDelayBudget, worstCaseChangeDelay } from '../src/newsBudget.js'
import { StoreFollower } from '../src/storeFollower.js'
import { changeFeedWith, followerContext } from './support/followerContext.js'

describe('how long news may take in all', () => {
  const bounds: readonly (readonly [number, string])[] = [
    [4000, 'the least bound that is known'],
    [6000, 'a longer one'],
    [13_000, 'that of the largest fleet'],
  ]
  for (const [bound, name] of bounds) {
    it(`stays within ${name}`, () => {
      expect(worstCaseChangeDelay(changeDelayBudget(bound)) <= bound).toEqual(true)
    })
  }

  it('waits long where the bound allows it, since each watch that ends is a call', () => {
    expect(changeDelayBudget(13_000).storeWatch).toEqual(5000)
  })
})

// A new route is told to a host four seconds late, and its callers hear that there is no such
// database. The store was about to forget its history: it told nobody of the change, cut all
// watches a second later, and accepted the next watch of some hosts although the change that it had
// to begin with was gone. Such a watch is silent to its end.

/** When the store does what, in milliseconds. */
const CHANGE_AT = 1100
const FORGETS_AT = 2200

const CONFIGURATION: FleetConfiguration = {
  version: 7,
  routes: [],
  services: [],
  customers: [],
  idleTransactionMilliseconds: 3000,
}

/** A store in virtual time that forgets its history once, and says so only when a watch ends. */
class ForgetfulStore {
  readonly waits: number[] = []
  readonly #clock: VirtualClock
  /** A change that nobody waits for ends the first watch, so that the host rests before the next. */
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
    if (startedAt < FORGETS_AT && startedAt + wait >= FORGETS_AT) {
      this.#clock.advance(FORGETS_AT - startedAt)
      return err({ kind: 'noAnswer', detail: 'the watch was cut' })
    }
    this.#clock.advance(wait)
    const isGone = this.#clock.now() >= FORGETS_AT && revision < 21
    return isGone ? err({ kind: 'historyGone' }) : ok({ changes: [], revision })
  }
}

/** When the host takes the configuration, and how long its watches were to wait. */
async function followForgetfulStore(
  firstChangeAt: number | null,
  isAwaited = false,
): Promise<{ readonly at: number; readonly waits: readonly number[] }> {
  const clock = new VirtualClock()
  const store = new ForgetfulStore(clock, firstChangeAt)
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

describe('a change that the store told nobody of', () => {
  it('is in force in time after the watch was cut', async () => {
    const { at } = await followForgetfulStore(null)
    expect(at - CHANGE_AT < 4000).toEqual(true)
  })

  it('is looked for soon after the cut: the next watch is brief', async () => {
    const { at } = await followForgetfulStore(null)
    expect(at - FORGETS_AT < 1000).toEqual(true)
  })

  // All hosts start while the store is away; the servers' entries lapsed and come back one by one.
  // After the first of them a host let the others gather, and its callers waited a second more for
  // the primary.
  it('is waited for without a rest while callers wait for it', async () => {
    const { waits } = await followForgetfulStore(1000, true)
    expect(waits[1]).toEqual(waits[0])
  })

  it('is looked for soon after a rest between two watches', async () => {
    const { waits } = await followForgetfulStore(1000)
    expect((waits[1] ?? 0) < (waits[0] ?? 0)).toEqual(true)
  })
})
