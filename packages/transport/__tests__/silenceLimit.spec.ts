import { describe, it } from 'node:test'
import { setImmediate as afterRead, setTimeout as delay } from 'node:timers/promises'
import { SystemClock } from '@nutmegcourse/shared'
import { expect } from 'earl'
import { SilenceLimit } from '../src/index.js'

// Guards against limits that count stalls of this process, that are lost, or that outlive their call.

const LIMIT_MILLISECONDS = 100
const STALL_MILLISECONDS = 150
/** Of the stall, one step may count. */
const LEAST_AFTER_STALL_MILLISECONDS = 80

/** Blocks the event loop until just before expired timers run. */
async function stall(): Promise<void> {
  await afterRead()
  const end = performance.now() + STALL_MILLISECONDS
  while (performance.now() < end);
}

class TestLimit {
  readonly #silence = new SilenceLimit(new SystemClock())
  readonly startedAt = performance.now()
  exceededAfter: readonly number[] = []

  start(): void {
    this.#silence.start(LIMIT_MILLISECONDS, () => {
      this.exceededAfter = [...this.exceededAfter, performance.now() - this.startedAt]
    })
  }

  stop(): void {
    this.#silence.stop()
  }

  async untilExceeded(): Promise<void> {
    while (this.exceededAfter.length === 0) await delay(1)
  }
}

/** What happens during the limit, and the time before which it must not be exceeded. */
const EXCEEDED: readonly (readonly [string, (limit: TestLimit) => Promise<void>, number])[] = [
  // A limit that is exceeded early.
  ['when it has passed', () => Promise.resolve(), LIMIT_MILLISECONDS],
  // A stall that counts as silence.
  ['later by a stall', stall, STALL_MILLISECONDS + LEAST_AFTER_STALL_MILLISECONDS],
  [
    // A limit that does not begin again with each part of an answer.
    'later when it is started again',
    async limit => {
      await delay(LIMIT_MILLISECONDS / 2)
      limit.start()
    },
    LIMIT_MILLISECONDS * 1.5,
  ],
]

/** Timers may run this much early. */
const TOLERANCE_MILLISECONDS = 2

describe('a limit on silence', () => {
  for (const [name, meanwhile, least] of EXCEEDED) {
    it(`is exceeded once, ${name}`, async () => {
      const limit = new TestLimit()
      limit.start()
      await meanwhile(limit)
      await limit.untilExceeded()
      await delay(LIMIT_MILLISECONDS * 2)
      expect(limit.exceededAfter.map(after => after > least - TOLERANCE_MILLISECONDS)).toEqual([
        true,
      ])
    })
  }

  // Guards against limits of calls that were answered.
  it('is not exceeded after it was stopped', async () => {
    const limit = new TestLimit()
    limit.start()
    await delay(LIMIT_MILLISECONDS / 2)
    limit.stop()
    await delay(LIMIT_MILLISECONDS * 2)
    expect(limit.exceededAfter).toEqual([])
  })
})
