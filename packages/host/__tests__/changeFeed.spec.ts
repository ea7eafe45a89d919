import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { DirectoryChange, RevisedChange, StoreLink } from '@nutmegcourse/protocol'
import { VirtualClock, milliseconds } from '@nutmegcourse/shared'
import { ChangeFeedServer } from '../src/changeFeedServer.js'
import type { ChangeFeedResponse, ChangeFeedRequest } from '../src/changeFeedMessages.js'
import { StoreFollower } from '../src/storeFollower.js'
import type { ChangeFeedSource } from '../src/changeFeedReader.js'
import { changeFeedWith, followerContext } from './support/followerContext.js'

const record = (key: string, revision: number): RevisedChange => ({
  kind: 'record',
  key,
  value: String(revision),
  revision,
  lease: 0,
})

const UPDATE = { kind: 'news', isWhole: false, madeAgo: 0, knownAgo: 0, waited: 0 } as const
const request = (after: number, wait: number, isAwaited = false): ChangeFeedRequest => ({
  after,
  wait,
  isAwaited,
})

const DECLINED: ChangeFeedResponse = { kind: 'declined' }

/** The responses of the zone's hosts, in their order; null: none within the limit. */
type Answers = readonly (ChangeFeedResponse | null)[]

interface FollowResult {
  readonly from: readonly string[]
  readonly changes: readonly DirectoryChange[]
  readonly since: number
  readonly isWhole: boolean
}

/**
 * Runs a host that knows revision 10 until it receives revision 12, which the store holds. `from` lists the hosts that
 * it asked; `takes` is the duration of each request in milliseconds.
 */
async function follow(answers: Answers, takes = 0): Promise<FollowResult> {
  const clock = new VirtualClock(1000)
  const from: string[] = []
  const peers = answers.map((answer, index): ChangeFeedSource => {
    const name = `host-${index + 1}`
    return {
      name,
      requestChanges: () => {
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

// Guards against hosts that receive changes late, or revert to an older state, when the host through which they follow
// fails.
const CASES: Readonly<Record<string, Case>> = {
  'asks one host when it responds': {
    answers: [{ ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1'],
  },
  'asks the store at once after a host that is dead or paused': {
    answers: [null],
    from: ['host-1', 'store'],
  },
  'asks the store at once after a host that has lost the store': {
    answers: [DECLINED],
    from: ['host-1', 'store'],
  },
  'asks the next host after one that has lost the store': {
    answers: [DECLINED, { ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1', 'host-2'],
  },
  'asks the store, not the next host, after one that is dead, since the wait is used up': {
    answers: [null, { ...UPDATE, changes: [record('b', 12)], revision: 12 }],
    from: ['host-1', 'store'],
  },
  'ignores the response of a host that lags behind it': {
    answers: [{ ...UPDATE, changes: [record('b', 8)], revision: 8 }],
    from: ['host-1', 'store'],
  },
  'asks the store when there is no other host': { answers: [], from: ['store'] },
}

describe('a host that follows the store through others of its zone', () => {
  for (const [name, { answers, from }] of Object.entries(CASES)) {
    it(name, async () => {
      const result = await follow(answers)
      expect(result.from).toEqual(from)
      expect(result.changes).toEqual([record('b', 12)])
    })
  }

  // Guards against counting the age of a change from its arrival when the other host has known it for longer: a leaving
  // server would receive work after it is gone.
  it('adds the age of a change at the other host and the transit time', async () => {
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

  // Guards against the same when the other host does not respond, so that the store is asked late.
  it('counts the age of a change from its last known state after waiting unsuccessfully for another host', async () => {
    const { since, from } = await follow([null], 2300)
    expect(from).toEqual(['host-1', 'store'])
    expect(since).toEqual(1000)
  })

  // Guards against an age that reaches back to a time at which this host knew that the change had not been made.
  it('counts the age of a change from no earlier than its own last known state', async () => {
    const answer = { ...UPDATE, changes: [record('b', 12)], revision: 12, madeAgo: 5000 }
    expect((await follow([answer])).since).toEqual(1000)
  })

  // Guards against a list by every host when the store compacts its history: one host lists for all.
  it('takes a complete list from a host that no longer has the changes after its revision', async () => {
    const answer = { ...UPDATE, isWhole: true, changes: [record('b', 12)], revision: 12 }
    const result = await follow([answer])
    expect(result.from).toEqual(['host-1'])
    expect(result.isWhole).toEqual(true)
  })

  it('asks the next host at the next watch after the first did not respond', async () => {
    const context = followerContext(new VirtualClock(1000))
    const asked: string[] = []
    const peer = (name: string, answer: ChangeFeedResponse | null): ChangeFeedSource => ({
      name,
      requestChanges: () => {
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

describe('a host that the store does not serve', () => {
  const told = { ...UPDATE, changes: [], revision: 10 }
  const OUTDATED = { ...told, knownAgo: 4001 }
  interface ElsewhereCase {
    readonly answers: Answers
    /** The hosts that it asks, and how long it lets each wait. */
    readonly asked: readonly (readonly [host: string, wait: number])[]
    readonly from: string | null
  }
  // Guards against a host that stays behind because the hosts that it asks are frozen, or no more up to date than it is.
  const CASES: Readonly<Record<string, ElsewhereCase>> = {
    'asks another host': { answers: [told], asked: [['host-1', 100]], from: 'host-1' },
    'asks the next one, without a wait, after one that is frozen': {
      answers: [null, told],
      asked: [
        ['host-1', 100],
        ['host-2', 0],
      ],
      from: 'host-2',
    },
    'asks the next one after one that follows another host': {
      answers: [DECLINED, told],
      asked: [
        ['host-1', 100],
        ['host-2', 100],
      ],
      from: 'host-2',
    },
    'does not rely on one that cannot tell itself': {
      answers: [OUTDATED],
      asked: [['host-1', 100]],
      from: null,
    },
    'finds none': { answers: [], asked: [], from: null },
  }
  for (const [name, { answers, asked, from }] of Object.entries(CASES)) {
    it(name, async () => {
      const seen: (readonly [string, number])[] = []
      const others = answers.map((answer, index): ChangeFeedSource => {
        const host = `host-${index + 1}`
        return {
          name: host,
          requestChanges: ({ wait }) => {
            seen.push([host, wait])
            return Promise.resolve(answer)
          },
        }
      })
      const context = followerContext(new VirtualClock(1000))
      const { reader } = changeFeedWith(
        context,
        () => [],
        () => others,
      )
      const received = await reader.watchElsewhere(request(10, 100))
      expect(seen).toEqual([...asked])
      expect(received?.from ?? null).toEqual(from)
    })
  }
})

describe('a host that serves the change feed', () => {
  const serverAt = (clock: VirtualClock): ChangeFeedServer =>
    new ChangeFeedServer(followerContext(clock))
  const NOW = milliseconds(0)
  const LISTED = { changes: [], revision: 10 }
  const AGE = { knownAt: NOW, madeSince: NOW }

  it('declines requests before its first list', async () => {
    expect(await serverAt(new VirtualClock()).answer(request(0, 1000))).toEqual(DECLINED)
  })

  it('responds as soon as it receives a change', async () => {
    const server = serverAt(new VirtualClock())
    server.takeList(LISTED, NOW)
    const answer = server.answer(request(10, 60_000))
    server.takeFromStore({ changes: [record('b', 12)], revision: 12 }, AGE)
    expect(await answer).toEqual({ ...UPDATE, changes: [record('b', 12)], revision: 12 })
  })

  const SUSPENSIONS: Readonly<Record<string, (server: ChangeFeedServer) => void>> = {
    'loses the store': server => {
      server.suspend()
    },
    stops: server => {
      server.stop()
    },
    'follows through another host': server => {
      server.takeFromHost({ changes: [], revision: 12 }, AGE)
    },
  }
  // Guards against hosts that wait at a host that will never respond.
  for (const [name, suspend] of Object.entries(SUSPENSIONS)) {
    it(`declines pending requests when it ${name}`, async () => {
      const server = serverAt(new VirtualClock())
      server.takeList(LISTED, NOW)
      const answer = server.answer(request(10, 60_000))
      suspend(server)
      expect(await answer).toEqual(DECLINED)
    })
  }

  const FAILURES: readonly (readonly [string, number, ChangeFeedResponse['kind']])[] = [
    ['keeps requests pending when one watch is cut', 1, 'news'],
    ['declines requests after two consecutive cuts', 2, 'declined'],
  ]
  // Guards against all hosts of a zone asking the store because one watch of one host was cut.
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

  // Guards against batching changes while requests at another host wait for a primary.
  it('knows that requests at a reading host wait for a change', async () => {
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

  // Guards against sending the age of the latest change for earlier ones: a host that paused receives both at once.
  it('sends the age of its last known state and of the oldest change', async () => {
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
