import { setTimeout as delay } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok, type Result } from 'neverthrow'
import { SystemClock } from '@nutmegcourse/shared'
import type { LongAnswerLimit, StoreFailure } from '@nutmegcourse/protocol'
import { GrowingLimit } from '../src/growingLimit.js'
import { PatientCalls } from '../src/patientCalls.js'

const EXPECTED_MILLISECONDS = 40
const LIMITS = { pauseMilliseconds: 50, begunMilliseconds: 60, lateCalls: 5 }
const LOST: StoreFailure = { kind: 'unavailable', detail: 'reset' }

/** How one call goes: milliseconds until its answer begins and until it ends; null for never. */
interface Script {
  readonly beginsAfter: number | null
  readonly endsAfter: number | null
  readonly fails?: true
}

const AT_ONCE: Script = { beginsAfter: 1, endsAfter: 2 }
const SLOW: Script = { beginsAfter: 130, endsAfter: 131 }
const SILENT: Script = { beginsAfter: null, endsAfter: null }
const FAILING: Script = { beginsAfter: null, endsAfter: 5, fails: true }
const UNENDING: Script = { beginsAfter: 5, endsAfter: null }
const LONG: Script = { beginsAfter: 5, endsAfter: 55 }

async function play(
  { beginsAfter, endsAfter, fails }: Script,
  limit: LongAnswerLimit,
): Promise<Result<number, StoreFailure>> {
  if (beginsAfter !== null) setTimeout(() => limit.onBegun?.(), beginsAfter)
  if (endsAfter === null) return new Promise(() => undefined)
  await delay(endsAfter)
  return fails === true ? err(LOST) : ok(endsAfter)
}

interface Case {
  readonly scripts: readonly Script[]
  /** What each `next` returns: the number of its answer, or the kind of its failure. */
  readonly outcomes: readonly (number | StoreFailure['kind'])[]
}

// Guards against a host that never follows a store again that is a little slower than a fixed limit, or whose
// connection went silent.
const CASES: Readonly<Record<string, Case>> = {
  'returns an answer in time': { scripts: [AT_ONCE], outcomes: [2] },
  'keeps a late answer, which arrives beside the next call': {
    scripts: [SLOW, SILENT, SILENT, SILENT],
    outcomes: ['noAnswer', 'noAnswer', 'noAnswer', 131],
  },
  'is not held up by a call that gets no answer': {
    scripts: [SILENT, AT_ONCE],
    outcomes: ['noAnswer', 2],
  },
  'reports the failure of the newest call at once': {
    scripts: [FAILING],
    outcomes: ['unavailable'],
  },
  'does not report the failure of an earlier call': {
    scripts: [
      { beginsAfter: null, endsAfter: 60, fails: true },
      { beginsAfter: 1, endsAfter: 35 },
    ],
    outcomes: ['noAnswer', 35],
  },
  'waits for the rest of an answer that has begun': { scripts: [LONG], outcomes: [55] },
  'makes the next call beside an answer that does not end': {
    scripts: [UNENDING, AT_ONCE],
    outcomes: ['noAnswer', 2],
  },
}

async function outcomesOf({ scripts, outcomes }: Case): Promise<unknown[]> {
  const calls = new PatientCalls<number>(new SystemClock(), LIMITS)
  const left = [...scripts]
  const seen: unknown[] = []
  while (seen.length < outcomes.length) {
    const result = await calls.next(
      limit => play(left.shift() ?? SILENT, limit),
      EXPECTED_MILLISECONDS,
    )
    seen.push(result.isOk() ? result.value.answer : result.error.kind)
  }
  return seen
}

describe('a repeated call', () => {
  for (const [name, each] of Object.entries(CASES)) {
    it(name, async () => {
      expect(await outcomesOf(each)).toEqual([...each.outcomes])
    })
  }

  // Guards against following that ends when one answer cannot be decoded.
  it('takes an error for a failed call', async () => {
    const calls = new PatientCalls<number>(new SystemClock(), LIMITS)
    const thrown = await calls.next(() => Promise.reject(new Error('odd')), EXPECTED_MILLISECONDS)
    expect(thrown.isErr() && thrown.error).toEqual({ kind: 'unexpected', detail: 'odd' })
    const next = await calls.next(limit => play(AT_ONCE, limit), EXPECTED_MILLISECONDS)
    expect(next.isOk()).toEqual(true)
  })
})

describe('a growing limit', () => {
  const STEPS: Readonly<Record<string, readonly [step: (limit: GrowingLimit) => void, number]>> = {
    'begins with the shortest time': [() => undefined, 10],
    'grows when it was exceeded': [
      limit => {
        limit.exceeded()
      },
      20,
    ],
    'does not grow beyond the longest time': [
      limit => {
        for (let count = 0; count < 9; count += 1) limit.exceeded()
      },
      100,
    ],
    'allows twice the time of the last answer': [
      limit => {
        limit.answered(30)
      },
      60,
    ],
    'returns to the shortest time': [
      limit => {
        limit.exceeded()
        limit.answered(1)
      },
      10,
    ],
  }
  for (const [name, [step, expected]] of Object.entries(STEPS)) {
    it(name, () => {
      const limit = new GrowingLimit(10, 100)
      step(limit)
      expect(limit.milliseconds).toEqual(expected)
    })
  }
})
