import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import {
  VirtualClock,
  availabilityZoneId,
  backendServerId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type {
  DirectoryChange,
  DirectoryEvents,
  RevisedChange,
  StoreFailure,
  StoreLink,
} from '@nutmegcourse/protocol'
import { StoreFollower } from '../src/storeFollower.js'
import { changeFeedWith, followerContext } from './support/followerContext.js'

// One host is cut off from the store for four seconds. Meanwhile a backend server announces that it is leaving, which
// the host receives two seconds late. The host counted the server's remaining time from then, and sent it new work
// after that time was over, when the server may be gone and another one may use its address. A change received after
// a failure may be as old as the last response before the failure.

const LEAVING: RevisedChange = {
  kind: 'server',
  revision: 2,
  entry: {
    server: backendServerId('i-p'),
    service: 'db-1',
    host: '127.0.0.1',
    port: 1,
    zone: availabilityZoneId('z'),
    slots: 3,
    isLeaving: true,
    role: 'primary',
    startedAtUnixMilliseconds: 1,
  },
}

type Answer = DirectoryEvents | StoreFailure

/** The result of one call to the store, and its duration in milliseconds. */
interface Step {
  readonly call: 'list' | 'watch'
  readonly takes: number
  readonly answer: Answer
}

const EMPTY: Answer = { changes: [], revision: 1 }
const CHANGE: Answer = { changes: [LEAVING], revision: 2 }
const UNANSWERED: Answer = { kind: 'noAnswer', detail: 'cut off' }
const GONE: Answer = { kind: 'historyGone' }

const CASES: readonly (readonly [string, readonly Step[], number])[] = [
  [
    'is now when a pending watch reports the change',
    [
      { call: 'list', takes: 10, answer: EMPTY },
      { call: 'watch', takes: 3000, answer: CHANGE },
    ],
    3010,
  ],
  [
    'is that of the last response when a watch failed before the change was received',
    [
      { call: 'list', takes: 10, answer: EMPTY },
      { call: 'watch', takes: 500, answer: EMPTY },
      { call: 'watch', takes: 6500, answer: UNANSWERED },
      { call: 'watch', takes: 10, answer: CHANGE },
    ],
    510,
  ],
  [
    'is that of the last response when the change is listed after the history was compacted',
    [
      { call: 'list', takes: 10, answer: EMPTY },
      { call: 'watch', takes: 500, answer: EMPTY },
      { call: 'watch', takes: 4000, answer: GONE },
      { call: 'list', takes: 10, answer: CHANGE },
    ],
    510,
  ],
  [
    'is that of the request when the first list contains the change',
    [{ call: 'list', takes: 10, answer: CHANGE }],
    0,
  ],
]

async function earliestChangeTime(steps: readonly Step[]): Promise<number> {
  const clock = new VirtualClock()
  const left = [...steps]
  const next = (call: Step['call']): Promise<Answer> => {
    const step = left.shift()
    if (step === undefined) return new Promise(() => undefined)
    expect(step.call).toEqual(call)
    clock.advance(step.takes)
    return Promise.resolve(step.answer)
  }
  const store = {
    list: async (_after: unknown, _limit: unknown, recordPrefix?: string) => {
      // The fleet has no hosts beside this one.
      if (recordPrefix !== undefined) return ok({ ...EMPTY, next: null })
      const answer = await next('list')
      return 'kind' in answer ? err(answer) : ok({ ...answer, next: null })
    },
    watch: async () => {
      const answer = await next('watch')
      return 'kind' in answer ? err(answer) : ok(answer)
    },
    close: () => undefined,
  } as unknown as StoreLink
  return new Promise(resolve => {
    const takeChanges = (changes: readonly DirectoryChange[], since: Milliseconds): void => {
      if (!changes.includes(LEAVING)) return
      follower.stop()
      resolve(since)
    }
    const context = followerContext(clock)
    const listener = { takeChanges, takeList: takeChanges, isUrgent: () => true, isAwaited: false }
    const follower = new StoreFollower(context, store, listener, changeFeedWith(context))
    void follower.run()
  })
}

describe('the earliest time at which a change may have been made', () => {
  for (const [name, steps, since] of CASES) {
    it(name, async () => {
      expect(await earliestChangeTime(steps)).toEqual(since)
    })
  }
})
