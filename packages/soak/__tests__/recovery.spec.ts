import { existsSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { backendServerId } from '@nutmegcourse/shared'
import { MemoryGroup } from '@nutmegcourse/stand-ins'
import { awaitPrimaries, ConsistencyChecker } from '../src/index.js'
import { FaultTrace } from '../src/faultTrace.js'

interface Case {
  readonly name: string
  readonly isPromoted: boolean
  readonly findings: readonly string[]
}

const CASES: readonly Case[] = [
  { name: 'keeps every write when the promotion takes effect', isPromoted: true, findings: [] },
  {
    name: 'has no primary when none is promoted',
    isPromoted: false,
    findings: ['service-1 has no primary at the end of the run', 'acknowledged write w1 is lost'],
  },
]

// Guards against a soak test that reports every write as lost because it ends while a change of primary is under way.
describe('a soak test that ends during a change of primary', () => {
  for (const { name, isPromoted, findings } of CASES) {
    it(name, async () => {
      const [primary, candidate] = ['p', 'a'].map(backendServerId)
      if (primary === undefined || candidate === undefined) throw new Error('two servers expected')
      const group = new MemoryGroup({
        service: 'service-1',
        servers: [primary, candidate],
        promotionMilliseconds: 50,
      })
      const checker = new ConsistencyChecker([group])
      checker.recordSent('w1')
      group.commit(group.primary, ['w1'])
      checker.recordAcknowledged('service-1', ['w1'], 'commit-w1')
      group.stepDown(group.primary, 2)
      if (isPromoted) group.promote(candidate, 1)
      expect(await awaitPrimaries([group], 200)).toEqual(isPromoted)
      expect([...checker.finish()]).toEqual([...findings])
    })
  }
})

// Guards against a process that ends because an order is carried out after its soak test has removed the directory.
describe('the fault trace of a soak test that has ended', () => {
  it('writes nothing more', () => {
    const directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-trace-'))
    const trace = new FaultTrace(directory)
    trace.write('order', { server: 'a' })
    trace.close()
    rmSync(directory, { recursive: true, force: true })
    trace.write('order', { server: 'a' })
    expect(existsSync(directory)).toEqual(false)
  })
})
