import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { DirectoryChange, RevisedChange, StoreLink } from '@nutmegcourse/protocol'
import { VirtualClock, milliseconds } from '@nutmegcourse/shared'
import { NewsDesk } from '../src/newsDesk.js'
import type { NewsAnswer, NewsQuestion } from '../src/newsMessages.js'
import { StoreFollower } from '../src/storeFollower.js'
import type { NewsPeer } from '../src/zoneNews.js'
import { changeFeedWith, followerContext } from './support/followerContext.js'

const record = (key: string, revision: number): RevisedChange => ({
  kind: 'record',
  key,
  value: String(revision),
  revision,
  lease: 0,
})

const UPDATE = { kind: 'news', isWhole: false, madeAgo: 0, knownAgo: 0, waited: 0 } as const
const request = (after: number, wait: number, isAwaited = false): NewsQuestion => ({
  after,
  wait,
  isAwaited,
})

const DECLINED: NewsAnswer = { kind: 'declined' }

/** How the hosts of the zone answer, in their order; null: not within the limit. */
type Answers = readonly (NewsAnswer | null)[]

interface FollowResult {
  readonly from: readonly string[]
  readonly changes: readonly DirectoryChange[]
  readonly since: number
  readonly isWhole: boolean
}

/**
 * One host that knows revision 10 follows on, until it has heard of revision 12, which the store holds. `from`: whom
 * it asked.
 */
async function follow(answers: Answers, takes = 0): Promise<FollowResult> {
  const clock = new VirtualClock(1000)
  const from: string[] = []
  const peers = answers.map((answer, index): NewsPeer => {
    const name = `host-${index + 1}`
    return {
      name,
      askNews: () => {
        from.push(name)
        clock.advance(takes)
        return Promise.resolve(answer)
      },
    }
  })
  const store = {
    list: () => Promise.resolve(ok({ changes: [], revision: 10, next: null })),
    watch: (after: number) => {
      from.push('store')
      return Promise.resolve(ok({ changes: after < 12 ? [record('b', 12)] : [], revision: 12 }))
    },
    close: () => undefined,
  } as unknown as StoreLink
  const context = followerContext(clock)
  return new Promise(resolve => {
    const take =
      (isWhole: boolean) =>
      (changes: readonly DirectoryChange[], since: number): void => {
        if (changes.length === 0) return
        follower.stop()
        resolve({ from, changes, since, isWhole })
      }
    const listener = {
      takeChanges: take(false),
      takeList: take(true),
      isUrgent: () => true,
      isAwaited: false,
    }
    const follower = new StoreFollower(
      context,
      store,
      listener,
      changeFeedWith(context, () => peers),
    )
    void follower.run()
  })
}

interface Case {
  readonly answers: Answers
  readonly from: readonly string[]
}

// Guards against hosts that hear late, or are taken back, when the host through which they follow fails.
const CASES: Readonly<Record<string, Case>> = {
  'one that tells is enough': {
    answers: [{ ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1'],
  },
  'one that is dead or frozen: the store is asked at once': {
    answers: [null],
    from: ['host-1', 'store'],
  },
  'one that has lost the store: the store is asked at once': {
    answers: [DECLINED],
    from: ['host-1', 'store'],
  },
  'one that has lost the store, and one that has not': {
    answers: [DECLINED, { ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1', 'host-2'],
  },
  'one that is dead, and one that is not: the store, since the time is spent': {
    answers: [null, { ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1', 'store'],
  },
  'one that lags behind this host: not believed': {
    answers: [{ ...UPDATE, changes: [record('b', 8)], revision: 8 }],
    from: ['host-1', 'store'],
  },
  'none: the store': { answers: [], from: ['store'] },
}

describe('a host follows the store through others of its zone', () => {
  for (const [name, { answers, from }] of Object.entries(CASES)) {
    it(name, async () => {
      const result = await follow(answers)
      expect(result.from).toEqual(from)
      expect(result.changes).toEqual([record('b', 12)])
    })
  }

  // Guards against a change that counts from its arrival, though the other host knew it for long: a server
  // that leaves would get work after it is gone.
  it('counts the age of news at the other host, and the way', async () => {
    const answer = {
      ...UPDATE,
      changes: [record('b', 12)],
      revision: 12,
      madeAgo: 300,
      waited: 350,
    }
    const { since } = await follow([answer], 400)
    expect(since).toEqual(1000 + 350 - 300)
  })

  // Guards against the same where the other host does not tell: the store is asked late then.
  it('counts from its last knowledge where it waited for another host in vain', async () => {
    const { since, from } = await follow([null], 2300)
    expect(from).toEqual(['host-1', 'store'])
    expect(since).toEqual(1000)
  })

  // Guards against a change that counts from before this host knew that it was not made yet.
  it('counts no change from before its own last knowledge', async () => {
    const answer = { ...UPDATE, changes: [record('b', 12)], revision: 12, madeAgo: 5000 }
    expect((await follow([answer])).since).toEqual(1000)
  })

  // Guards against lists of every host when the store forgets its history: the one that follows lists for all.
  it('takes everything from one that no longer knows so old a revision', async () => {
    const answer = { ...UPDATE, isWhole: true, changes: [record('b', 12)], revision: 12 }
    const result = await follow([answer])
    expect(result.from).toEqual(['host-1'])
    expect(result.isWhole).toEqual(true)
  })

  it('asks the next one where the first does not tell', async () => {
    const context = followerContext(new VirtualClock(1000))
    const asked: string[] = []
    const peer = (name: string, answer: NewsAnswer | null): NewsPeer => ({
      name,
      askNews: () => {
        asked.push(name)
        return Promise.resolve(answer)
      },
    })
    const second = { ...UPDATE, changes: [], revision: 10 }
    const peers = [peer('first', null), peer('second', second)]
    const { reader } = changeFeedWith(context, () => peers)
    expect(await reader.watch(request(10, 100))).toEqual(null)
    expect((await reader.watch(request(10, 100)))?.events.revision).toEqual(10)
    expect(asked).toEqual(['first', 'second'])
  })
})

describe('a host that tells others', () => {
  const serverAt = (clock: VirtualClock): NewsDesk => new NewsDesk(followerContext(clock))
  const NOW = milliseconds(0)
  const LISTED = { changes: [], revision: 10 }
  const AGE = { knownAt: NOW, madeSince: NOW }

  it('declines before it has listed', async () => {
    expect(await serverAt(new VirtualClock()).answer(request(0, 1000))).toEqual(DECLINED)
  })

  it('tells as soon as it hears', async () => {
    const server = serverAt(new VirtualClock())
    server.takeList(LISTED, NOW)
    const answer = server.answer(request(10, 60_000))
    server.takeFromStore({ changes: [record('b', 12)], revision: 12 }, AGE)
    expect(await answer).toEqual({ ...UPDATE, changes: [record('b', 12)], revision: 12 })
  })

  const SUSPENSIONS: Readonly<Record<string, (server: NewsDesk) => void>> = {
    'loses the store': server => {
      server.suspend()
    },
    stops: server => {
      server.stop()
    },
    'follows through another one': server => {
      server.takeFromHost({ changes: [], revision: 12 }, AGE)
    },
  }
  // Guards against hosts that wait at one which will never tell.
  for (const [name, suspend] of Object.entries(SUSPENSIONS)) {
    it(`sends those who wait elsewhere when it ${name}`, async () => {
      const server = serverAt(new VirtualClock())
      server.takeList(LISTED, NOW)
      const answer = server.answer(request(10, 60_000))
      suspend(server)
      expect(await answer).toEqual(DECLINED)
    })
  }

  const FAILURES: readonly (readonly [string, number, NewsAnswer['kind']])[] = [
    ['waits through one watch that is cut', 1, 'news'],
    ['declines after two in a row', 2, 'declined'],
  ]
  // Guards against a zone of hosts that all ask the store because one watch of one host was cut.
  for (const [name, failures, kind] of FAILURES) {
    it(name, async () => {
      const context = followerContext(new VirtualClock())
      const changeFeed = changeFeedWith(context)
      let left = failures
      const store = {
        list: () => Promise.resolve(ok({ ...LISTED, next: null })),
        watch: () => {
          left -= 1
          if (left >= 0) return Promise.resolve(err({ kind: 'noAnswer', detail: 'cut' }))
          if (left < -1) return new Promise(() => undefined)
          return Promise.resolve(ok({ changes: [record('b', 12)], revision: 12 }))
        },
        close: () => undefined,
      } as unknown as StoreLink
      const listener = {
        takeChanges: () => undefined,
        takeList: () => undefined,
        isUrgent: () => true,
        isAwaited: false,
      }
      const follower = new StoreFollower(context, store, listener, changeFeed)
      changeFeed.server.takeList(LISTED, NOW)
      const answer = changeFeed.server.answer(request(10, 60_000))
      void follower.run()
      expect((await answer).kind).toEqual(kind)
      follower.stop()
    })
  }

  // Guards against news that gathers while requests wait for a primary at another host.
  it('knows that requests wait for news at one of them', async () => {
    const clock = new VirtualClock()
    const server = serverAt(clock)
    server.takeList(LISTED, NOW)
    await server.answer(request(10, 0))
    expect(server.isAwaited).toEqual(false)
    await server.answer(request(10, 0, true))
    expect(server.isAwaited).toEqual(true)
    clock.advance(1000)
    expect(server.isAwaited).toEqual(false)
  })

  // Guards against the age of the last answer for changes of an earlier one: whoever rested hears both at once.
  it('tells how old its knowledge is, and the oldest of its changes', async () => {
    const clock = new VirtualClock()
    const server = serverAt(clock)
    server.takeList(LISTED, NOW)
    const addRevision = (revision: number): void => {
      const at = clock.now()
      const changes = [record(`k${revision}`, revision)]
      server.takeFromStore({ changes, revision }, { knownAt: at, madeSince: at })
    }
    clock.advance(100)
    addRevision(11)
    clock.advance(600)
    addRevision(12)
    clock.advance(50)
    expect(await server.answer(request(10, 0))).toEqual({
      ...UPDATE,
      changes: [record('k11', 11), record('k12', 12)],
      revision: 12,
      madeAgo: 650,
      knownAgo: 50,
    })
    expect(await server.answer(request(12, 0))).toEqual({
      ...UPDATE,
      changes: [],
      revision: 12,
      knownAgo: 50,
    })
  })
})
