import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { logStalls, type Log } from '../src/index.js'

const BLOCKED_MILLISECONDS = 250

function blockEventLoop(): void {
  const end = performance.now() + BLOCKED_MILLISECONDS
  while (performance.now() < end);
}

describe('the log of stalls', () => {
  it('names how long the process stalled, until it is stopped', async () => {
    const logged: number[] = []
    const warn = (_text: string, fields: { milliseconds: number }): void => {
      logged.push(fields.milliseconds)
    }
    const stop = logStalls({ warn } as unknown as Log)
    await delay(1)
    blockEventLoop()
    await delay(100)
    stop()
    const stalls = logged.length
    expect(logged.some(milliseconds => milliseconds >= BLOCKED_MILLISECONDS - 51)).toEqual(true)
    blockEventLoop()
    await delay(100)
    expect(logged.length).toEqual(stalls)
  })
})
