import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { VirtualClock, customerName, digestOfKey } from '@nutmegcourse/shared'
import { OwnStall } from '../src/ownStall.js'
import { withHostFixture, type FixtureHost, type HostFixture } from './support/hostFixture.js'

const NAMES = ['alfa', 'bravo'] as const
const CUSTOMERS = NAMES.map(name => ({
  name: customerName(name),
  keys: [digestOfKey(`key-of-${name}`)],
  priority: 0,
  limit: null,
}))
const CONNECTIONS = 4
const BUSY_CALLERS = 12
const WORK_MILLISECONDS = 20
const WRITES_AFTER_STALL = 5
/** So many milliseconds after a stall the answers that arrived during it have been read. */
const READ_MILLISECONDS = 5

/** Blocks the event loop. */
function stall(span: number): void {
  const end = performance.now() + span
  while (performance.now() < end);
}

async function writeAfterStall(
  fixture: HostFixture,
  host: FixtureHost,
  stallMilliseconds: number,
): Promise<string[]> {
  fixture.dialer.hooks.workMilliseconds = WORK_MILLISECONDS
  let isOver = false
  const busy = Array.from({ length: BUSY_CALLERS }, async () => {
    const caller = await fixture.caller(host, 'latest', 'key-of-alfa')
    while (!isOver) if ((await caller.outcomeOf('write 1')) !== 'done') await delay(5)
  })
  const caller = await fixture.caller(host, 'latest', 'key-of-bravo')
  await delay(200)
  stall(stallMilliseconds)
  await delay(READ_MILLISECONDS)
  const outcomes: string[] = []
  for (let count = 0; count < WRITES_AFTER_STALL; count += 1) {
    outcomes.push(await caller.outcomeOf('write 1'))
  }
  isOver = true
  await Promise.all(busy)
  return outcomes
}

describe("a stall of the host's own process", () => {
  // Guards against a host that takes its own stall for time that a server held its connections: its forecast of waits
  // was then many times too long, and it refused callers as overloaded.
  for (const stallMilliseconds of [100, 200, 300, 500]) {
    it(`of ${String(stallMilliseconds)} ms leaves no caller refused`, async () => {
      const options = { customers: CUSTOMERS, connectionLimit: CONNECTIONS }
      await withHostFixture(1, scenario, options)
      async function scenario(fixture: HostFixture, [host]: readonly FixtureHost[]): Promise<void> {
        if (host === undefined) return
        const outcomes = await writeAfterStall(fixture, host, stallMilliseconds)
        expect(outcomes).toEqual(Array.from({ length: WRITES_AFTER_STALL }, () => 'done'))
      }
    })
  }
})

describe('OwnStall', () => {
  /** Spans between readings, none of which a check falls into, and the stall that they amount to. */
  const cases: readonly (readonly [string, readonly number[], number])[] = [
    ['one long span', [320], 310],
    ['two long spans', [100, 220], 300],
    ['many short spans, as on a starved processor', [30, 30, 30, 30], 80],
    ['spans within the interval of the checks', [10, 10, 10, 10], 0],
    ['spans that exceed it a little', [14, 14], 0],
  ]
  for (const [name, spans, expected] of cases) {
    it(`takes ${name} for a stall of ${String(expected)} ms`, () => {
      const clock = new VirtualClock()
      const ownStall = new OwnStall(clock)
      const before = ownStall.totalMilliseconds
      const readings = spans.map(span => {
        clock.advance(span)
        return ownStall.totalMilliseconds - before
      })
      expect(readings.at(-1)).toEqual(expected)
    })
  }
})

describe('the recent lateness of timers', () => {
  type Step = readonly [afterMilliseconds: number, lateness: number]
  const CASES: Readonly<Record<string, readonly [steps: readonly Step[], expected: number]>> = {
    'is that of the latest timer': [[[0, 300]], 300],
    'is the longest of some seconds': [
      [
        [0, 300],
        [4000, 10],
      ],
      300,
    ],
    'is forgotten after a while': [
      [
        [0, 300],
        [10_000, 10],
        [10_000, 20],
      ],
      20,
    ],
    'is forgotten after a pause': [
      [
        [0, 300],
        [60_000, 10],
      ],
      10,
    ],
  }
  for (const [name, [steps, expected]] of Object.entries(CASES)) {
    it(name, () => {
      const clock = new VirtualClock()
      const ownStall = new OwnStall(clock)
      for (const [after, lateness] of steps) {
        clock.advance(after)
        ownStall.noteLateness(lateness)
      }
      expect(ownStall.recentLatenessMilliseconds).toEqual(expected)
    })
  }
})
