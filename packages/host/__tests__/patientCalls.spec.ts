import { setTimeout as delay } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err, ok, type Result } from 'neverthrow'
import { SystemClock } from '@nutmegcourse/shared'
import type { LongAnswerLimit, StoreFailure } from '@nutmegcourse/protocol'
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

  // Guards against a slow store whose history is gone: its late answer was taken for one more failed call, and the host
  // never listed again.
  it('reports late that the history is gone', async () => {
    const calls = new PatientCalls<number>(new SystemClock(), LIMITS)
    const gone = (): Promise<Result<number, StoreFailure>> =>
      delay(60).then(() => err({ kind: 'historyGone' }))
    const first = await calls.next(gone, EXPECTED_MILLISECONDS)
    expect(first.isErr() && first.error.kind).toEqual('noAnswer')
    const second = await calls.next(limit => play(SILENT, limit), EXPECTED_MILLISECONDS)
    expect(second.isErr() && second.error.kind).toEqual('historyGone')
  })

  // Guards against a slow store that is never followed because pending calls on silent connections use up the limit of
  // late calls, so that each new call times out before its answer.
  it('gives up silent calls for newer ones, and keeps the oldest', async () => {
    const calls = new PatientCalls<number>(new SystemClock(), { ...LIMITS, lateCalls: 2 })
    const signals: (AbortSignal | undefined)[] = []
    const next = (script: Script): Promise<unknown> =>
      calls.next(limit => {
        signals.push(limit.signal)
        return play(script, limit)
      }, EXPECTED_MILLISECONDS)
    for (let count = 0; count < 4; count += 1) await next(SILENT)
    await next({ beginsAfter: 60, endsAfter: 61 })
    expect(signals.map(signal => signal?.aborted)).toEqual([false, true, true, false, false])
    const late = await calls.next(limit => play(SILENT, limit), EXPECTED_MILLISECONDS)
    expect(late.isOk() && late.value.answer).toEqual(61)
  })

  // Guards against following that ends when one answer cannot be decoded.
  it('takes an error for a failed call', async () => {
    const calls = new PatientCalls<number>(new SystemClock(), LIMITS)
    const thrown = await calls.next(() => Promise.reject(new Error('odd')), EXPECTED_MILLISECONDS)
    expect(thrown.isErr() && thrown.error).toEqual({ kind: 'unexpected', detail: 'odd' })
    const next = await calls.next(limit => play(AT_ONCE, limit), EXPECTED_MILLISECONDS)
    expect(next.isOk()).toEqual(true)
  })
})
