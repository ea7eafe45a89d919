import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Route } from '@nutmegcourse/protocol'
import { VirtualClock, addMilliseconds, backendServerId, customerName } from '@nutmegcourse/shared'
import type { LogFields } from '../src/decisionLog.js'
import type { HostContext } from '../src/hostContext.js'
import { SlotGate } from '../src/slotGate.js'
import type { StatementRequest } from '../src/statements.js'
import { Withdrawal } from '../src/waiting.js'

const CUSTOMER = customerName('alfa')
const LONG_MILLISECONDS = 5000

class GateFixture {
  readonly clock = new VirtualClock()
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = []
  readonly gate: SlotGate

  constructor() {
    const log = {
      write: (event: string, fields: LogFields) => this.lines.push({ event, fields }),
    }
    const context = { clock: this.clock, log } as unknown as HostContext
    this.gate = new SlotGate(context, backendServerId('i-p'), 1)
  }

  /** `left`: milliseconds until its latest start. */
  async enter(
    id: string,
    left: number,
    classPriority = 2,
    isUnderWay = false,
    withdrawal?: Withdrawal,
  ): Promise<string> {
    const now = this.clock.now()
    const request = {
      customer: CUSTOMER,
      arrivedAt: now,
      route: { name: 'r-report', priority: classPriority },
      statement: { id },
    } as unknown as StatementRequest
    const terms = {
      classPriority,
      customerWeight: 1,
      targetAt: addMilliseconds(now, 2 * LONG_MILLISECONDS),
      latestStart: addMilliseconds(now, left),
      isUnderWay,
    }
    const { kind } = await this.gate.enter(request, terms, withdrawal)
    return kind
  }

  get refusalsPerSecond(): { readonly atOnce: number; readonly overdue: number } {
    const now = this.clock.now()
    const { refused, overdue } = this.gate
    return {
      atOnce: refused.perSecond(now).get(CUSTOMER) ?? 0,
      overdue: overdue.perSecond(now).get(CUSTOMER) ?? 0,
    }
  }
}

/** For newcomers of the highest class and of the one of what runs. */
const forecastsOf = ({ gate }: GateFixture): readonly number[] =>
  [0, 2].map(priority =>
    gate.forecastMilliseconds({
      name: `r-${String(priority)}`,
      priority,
      latencyTargetMilliseconds: LONG_MILLISECONDS,
      statementTimeoutMilliseconds: LONG_MILLISECONDS,
    } as unknown as Route),
  )

describe('SlotGate', () => {
  // Guards against statements that end without a line from which operators learn why.
  it('logs and counts a statement that waited until it was too late', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    const waiting = fixture.enter('waiting', 500)
    expect([...fixture.gate.waitingByCustomer]).toEqual([[CUSTOMER, 1]])
    expect([...fixture.gate.waitingByClass]).toEqual([[2, 1]])
    fixture.clock.advance(501)
    fixture.gate.tick(false)
    expect(await waiting).toEqual('overdue')
    const [line] = fixture.lines
    const forecastMilliseconds = line?.fields.forecastMilliseconds
    expect(line).toEqual({
      event: 'slot_overdue',
      fields: {
        request: 'waiting',
        route: 'r-report',
        priority: 2,
        customer: CUSTOMER,
        ahead: 0,
        forecastMilliseconds,
        waitedMilliseconds: 501,
        server: backendServerId('i-p'),
        limit: 1,
        inFlight: 1,
        waiting: 0,
      },
    })
    expect(typeof forecastMilliseconds).toEqual('number')
    expect(fixture.refusalsPerSecond.overdue > 0).toEqual(true)
  })

  // Guards against statements that wait at a server that hangs while another one could run them, and against statements
  // that can run nowhere else and lose their place over and over.
  it('lets waiting statements look for another server once when theirs falls silent', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    const waiting = fixture.enter('read', 500)
    fixture.gate.tick(true)
    expect(await waiting).toEqual('withdrawn')
    void fixture.enter('read', 500)
    fixture.gate.tick(true)
    expect(fixture.gate.load).toEqual(2)
    expect([fixture.lines.length, fixture.refusalsPerSecond]).toEqual([
      0,
      { atOnce: 0, overdue: 0 },
    ])
  })

  it('forecasts a longer wait to a route of a lower class', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    expect(forecastsOf(fixture).every(forecast => forecast > 0)).toEqual(true)
    const waiting = ['first', 'second', 'third'].map(id => fixture.enter(id, LONG_MILLISECONDS, 0))
    const [higher = 0, lower = 0] = forecastsOf(fixture)
    expect([higher > 0, lower > higher]).toEqual([true, true])
    fixture.gate.withdrawWaiting()
    expect(await Promise.all(waiting)).toEqual(['withdrawn', 'withdrawn', 'withdrawn'])
  })

  // Guards against transactions that are aborted by a short silence, after which they could have gone on.
  it('keeps statements of open transactions waiting at a silent server, which no other server can run', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    const waiting = fixture.enter('commit', 500, 2, true)
    fixture.gate.tick(true)
    fixture.gate.tick(false)
    fixture.clock.advance(501)
    fixture.gate.tick(false)
    expect(await waiting).toEqual('overdue')
  })

  it('withdraws statements of open transactions from a server that is gone', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    const waiting = fixture.enter('commit', 500, 2, true)
    fixture.gate.withdrawWaiting()
    expect(await waiting).toEqual('withdrawn')
  })

  // Guards against an attempt that keeps its place, and takes a slot, when its statement was answered elsewhere.
  it('ends the wait of a statement that is withdrawn, and leaves those that entered', async () => {
    const fixture = new GateFixture()
    const withdrawal = new Withdrawal()
    const running = fixture.enter('running', LONG_MILLISECONDS, 2, false, withdrawal)
    const waiting = fixture.enter('waiting', LONG_MILLISECONDS, 2, false, withdrawal)
    const behind = fixture.enter('behind', LONG_MILLISECONDS)
    withdrawal.withdraw()
    expect(await Promise.all([running, waiting])).toEqual(['entered', 'withdrawn'])
    expect([fixture.gate.inFlight, fixture.gate.load]).toEqual([1, 2])
    expect(fixture.lines).toEqual([])
    fixture.gate.withdrawWaiting()
    expect(await behind).toEqual('withdrawn')
  })

  it('logs and counts a statement that is refused at once', async () => {
    const fixture = new GateFixture()
    await fixture.enter('running', LONG_MILLISECONDS)
    expect(await fixture.enter('short', 0)).toEqual('overloaded')
    const { priority, customer, ahead, decidedBy } = fixture.lines[0]?.fields ?? {}
    expect([priority, customer, ahead, decidedBy]).toEqual([2, CUSTOMER, 0, 'queue'])
    expect(fixture.refusalsPerSecond.atOnce > 0).toEqual(true)
  })
})
