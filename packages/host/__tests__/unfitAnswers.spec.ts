import { describe, it } from 'node:test'
import { expect } from 'earl'
import { err } from 'neverthrow'
import { SeededRandom, SystemClock, backendServerId, milliseconds } from '@nutmegcourse/shared'
import type { BackendLink, LinkFailure, UnfitReason } from '@nutmegcourse/protocol'
import { DecisionLog, type LogFields } from '../src/decisionLog.js'
import type { HostContext } from '../src/hostContext.js'
import { HostMetrics } from '../src/hostMetrics.js'
import { ServerPool } from '../src/serverPool.js'

const ADDRESS = { service: 'db-1', server: backendServerId('i-p'), host: '127.0.0.1', port: 1 }

const unfit = (reason: UnfitReason): LinkFailure => ({
  kind: 'malformedAnswer',
  unfit: {
    reason,
    command: 'forward',
    previousCommand: 'set',
    connection: 7,
    connectionAgeMilliseconds: 1200,
    commandsSent: 9,
    answersReceived: 8,
    answersConfirmed: 1,
    messages: '0 rows, DONE -, READY idle 1.2',
  },
})

/** A pool whose connections fail as the test says, and what it logs of them. */
class FailingPool {
  readonly lines: (readonly [string, LogFields])[] = []
  readonly metrics = new HostMetrics()
  readonly pool: ServerPool
  opening = new Promise<unknown>(() => undefined)

  constructor() {
    const sink = { info: (name: string, fields: LogFields) => this.lines.push([name, fields]) }
    const context = {
      clock: new SystemClock(),
      ownStall: { totalMilliseconds: 0 },
      random: new SeededRandom(1),
      settings: { schedulesSlots: false, requiresKeys: false },
      log: new DecisionLog(sink, this.metrics),
      dialer: { open: () => ({ link: this.link(), opened: this.opening }) },
    } as unknown as HostContext
    this.pool = new ServerPool(context, ADDRESS, 10, () => ({ kind: 'holder', hosts: 1 }))
  }

  /** An open connection; `fail` closes it. */
  link(): BackendLink & { fail: (failure: LinkFailure) => void } {
    let listener: (failure: LinkFailure) => void = () => undefined
    return {
      isOpen: true,
      lastReceivedAt: 0,
      run: () => new Promise(() => undefined),
      close: () => undefined,
      onClosed: each => (listener = each),
      fail: failure => {
        listener(failure)
      },
    }
  }

  linesOf(event: string): readonly LogFields[] {
    return this.lines.filter(([name]) => name === event).map(([, fields]) => fields)
  }
}

describe('an answer that is not used', () => {
  // Guards against an answer of another command that leaves no trace of what made it unfit.
  for (const reason of ['repeatedSignature', 'noCommandWaiting', 'framing'] as const) {
    it(`is logged and counted by its reason: ${reason}`, () => {
      const bench = new FailingPool()
      const link = bench.link()
      bench.pool.opened(link, null)
      const failure = unfit(reason)
      link.fail(failure)
      const fields = failure.kind === 'malformedAnswer' ? failure.unfit : {}
      const expected = { server: ADDRESS.server, service: ADDRESS.service, ...fields }
      expect(bench.linesOf('answer_unfit')).toEqual([expected])
      const counter = `nutmegcourse_events_total{event="answer_unfit",reason="${reason}"} 1`
      expect(bench.metrics.text().includes(counter)).toEqual(true)
    })
  }

  it('is logged if it arrives before the session is accepted', async () => {
    const bench = new FailingPool()
    bench.opening = Promise.resolve(err(unfit('framing')))
    await bench.pool.acquireFirst(milliseconds(performance.now() + 20))
    expect(bench.linesOf('answer_unfit').length >= 1).toEqual(true)
  })

  it('is not reported for a connection that was lost', () => {
    const bench = new FailingPool()
    const link = bench.link()
    bench.pool.opened(link, null)
    link.fail({ kind: 'connectionLost' })
    expect(bench.linesOf('answer_unfit')).toEqual([])
  })
})
