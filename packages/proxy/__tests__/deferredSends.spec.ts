/** What happens to a write while it waits to be sent. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { ConnectionId } from '@nutmegcourse/state'
import { DeferredActions } from '../src/deferredActions.js'
import { WRITE_CLASS, withProxy, type ProxyFixture } from './support/proxyFixture.js'
import { RawCaller, bind, execute, flush, parse, query, sync } from './support/rawCaller.js'

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

describe('deferred sends', () => {
  /** An end of the connection that is read in the third turn must be known before the send. */
  it('are handed over in order, each after three turns', async () => {
    const sends = new DeferredActions()
    const sent: string[] = []
    sends.add(() => sent.push('first'))
    sends.add(() => sent.push('second'))
    await nextTurn()
    sends.add(() => sent.push('third'))
    await nextTurn()
    expect(sent).toEqual([])
    await nextTurn()
    expect(sent).toEqual(['first', 'second'])
    await nextTurn()
    expect(sent).toEqual(['first', 'second', 'third'])
  })

  /** A proxy that has closed its connections must not open new ones. */
  it('are dropped when the proxy closes', async () => {
    const sends = new DeferredActions()
    const sent: string[] = []
    sends.add(() => sent.push('dropped'))
    sends.clear()
    for (let turn = 0; turn < 5; turn += 1) await nextTurn()
    expect(sent).toEqual([])
  })
})

/** Acts once, right after the core has handled the first message of this kind. */
function actAfter(
  fixture: ProxyFixture,
  kind: 'requestArrived' | 'transactionContinued',
  act: (connection: ConnectionId | null) => void,
): void {
  const { core } = fixture
  const handle = core.handle.bind(core)
  core.handle = message => {
    const effects = handle(message)
    if (message.kind === kind) {
      core.handle = handle
      const run = effects.find(effect => effect.kind === 'run')
      const continued = message.kind === 'transactionContinued' ? message.connection : null
      queueMicrotask(() => {
        act(run?.connection ?? continued)
      })
    }
    return effects
  }
}

function closeConnection(fixture: ProxyFixture, connection: ConnectionId | null): void {
  if (connection === null) throw new Error('the request was given no connection')
  fixture.core.inject([{ kind: 'close', connection }])
  fixture.shell.tick()
}

const kindsOf = (fixture: ProxyFixture): string[] =>
  fixture.core.messages.map(message => message.kind)

describe('a write that waits to be sent', () => {
  /** A write is lost or sent twice because its connection closes between the decision and the send. */
  it('is sent once, on another connection, if its connection is closed in the meantime', () =>
    withProxy(2, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('SELECT 1'))
      await caller.untilReady()
      actAfter(fixture, 'requestArrived', connection => {
        closeConnection(fixture, connection)
      })
      caller.send(query('INSERT once'))
      await caller.untilReady(2)
      expect(caller.types).toEqual('TDCZCZ')
      expect(fixture.backend.inserted).toEqual(['INSERT once'])
      expect(kindsOf(fixture).includes('requestNotSent')).toEqual(true)
      expect(kindsOf(fixture).includes('requestBroken')).toEqual(false)
      caller.disconnect()
    }))

  /** Messages that follow a Flush arrive before the first part is sent. */
  it('is sent whole if the rest of it arrives in the meantime', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      const first = [parse('', 'INSERT first'), bind(''), execute(), flush()]
      const second = [parse('', 'INSERT second'), bind(''), execute(), sync()]
      caller.send(...first, ...second)
      await caller.untilReady()
      expect(caller.types).toEqual('12C12CZ')
      expect(fixture.backend.inserted).toEqual(['INSERT first', 'INSERT second'])
      caller.disconnect()
    }))

  /** Nobody would get the answer to a write that runs after its caller has gone. */
  it('is not sent if its caller is disconnected in the meantime', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      actAfter(fixture, 'requestArrived', () => {
        fixture.shell.destroyCallers()
      })
      caller.send(query('INSERT late'))
      await caller.until(() => caller.closed)
      const next = await RawCaller.connect(fixture.port, WRITE_CLASS)
      next.send(query('INSERT next'))
      await next.untilReady()
      expect(fixture.backend.inserted).toEqual(['INSERT next'])
      next.disconnect()
    }))

  /** A canceled write that runs nevertheless was reported as canceled. */
  it('is not sent if it is canceled in the meantime', () =>
    withProxy(1, async fixture => {
      const client = await fixture.connect(WRITE_CLASS)
      const { processID, secretKey } = client as unknown as Record<string, number>
      await client.query('SELECT 1')
      actAfter(fixture, 'requestArrived', () => {
        fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      })
      const outcome = client.query('INSERT canceled').then(() => 'ran', String)
      expect((await outcome).includes('canceling statement')).toEqual(true)
      await client.query('INSERT next')
      expect(fixture.backend.inserted).toEqual(['INSERT next'])
    }))

  /** A stop that does not count it cuts its caller. */
  it('is finished before a stop', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      const stops: Promise<void>[] = []
      actAfter(fixture, 'requestArrived', () => {
        stops.push(fixture.shell.stop())
      })
      caller.send(query('INSERT last'))
      await caller.until(() => caller.closed)
      await Promise.all(stops)
      expect(caller.types).toEqual('CZE')
      expect(fixture.backend.inserted).toEqual(['INSERT last'])
    }))
})

describe('a statement of a transaction that waits to be sent', () => {
  interface Case {
    readonly name: string
    readonly statement: string
    readonly status: string
    readonly then: string
  }
  /** A statement that was never sent is answered with an unknown outcome, or runs outside its transaction. */
  const cases: readonly Case[] = [
    { name: 'a COMMIT ends it', statement: 'COMMIT', status: 'I', then: 'CZ' },
    { name: 'others leave it failed', statement: 'INSERT b', status: 'E', then: 'EZ' },
  ]
  for (const { name, statement, status, then } of cases) {
    it(`is refused as lost if its connection is closed in the meantime: ${name}`, () =>
      withProxy(2, async fixture => {
        const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
        caller.send(query('BEGIN'))
        await caller.untilReady()
        actAfter(fixture, 'transactionContinued', connection => {
          closeConnection(fixture, connection)
        })
        caller.frames.length = 0
        caller.send(query(statement))
        await caller.untilReady()
        expect(caller.types).toEqual('EZ')
        expect(caller.text.includes('transaction_lost')).toEqual(true)
        expect(caller.frames.at(-1)?.bytes.toString('latin1', 5)).toEqual(status)
        caller.frames.length = 0
        caller.send(query('INSERT c'))
        await caller.untilReady()
        expect(caller.types).toEqual(then)
        expect(fixture.backend.inserted).toEqual(status === 'I' ? ['INSERT c'] : [])
        caller.disconnect()
      }))
  }

  /** A canceled statement fails its transaction; the next must not run outside of it. */
  it('leaves a failed transaction if it is canceled in the meantime', () =>
    withProxy(2, async fixture => {
      const client = await fixture.connect(WRITE_CLASS)
      const { processID, secretKey } = client as unknown as Record<string, number>
      await client.query('BEGIN')
      actAfter(fixture, 'transactionContinued', () => {
        fixture.shell.cancel({ processId: processID ?? 0, secret: secretKey ?? 0 })
      })
      const reasons: string[] = []
      for (const statement of ['INSERT a', 'INSERT b']) {
        await client.query(statement).catch((error: unknown) => reasons.push(String(error)))
      }
      await client.query('ROLLBACK')
      expect(reasons.map(text => /canceling|aborted/.exec(text)?.[0])).toEqual([
        'canceling',
        'aborted',
      ])
      expect(fixture.backend.inserted).toEqual([])
    }))
})

describe('a write that was sent', () => {
  /** A write that may have run is sent again, or answered as not run. */
  it('has an unknown outcome if its connection breaks then', () =>
    withProxy(1, async fixture => {
      const caller = await RawCaller.connect(fixture.port, WRITE_CLASS)
      caller.send(query('INSERT break_silently'))
      await caller.untilReady()
      expect(caller.text.includes('connection_lost')).toEqual(true)
      expect(kindsOf(fixture).includes('requestBroken')).toEqual(true)
      expect(kindsOf(fixture).includes('requestNotSent')).toEqual(false)
      caller.disconnect()
    }))
})
