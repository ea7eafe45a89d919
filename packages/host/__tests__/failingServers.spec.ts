import { describe, it } from 'node:test'
import { expect } from 'earl'
import { hostKey } from '@nutmegcourse/coordination'
import type { BackendCommand } from '@nutmegcourse/protocol'
import type { CommandFault } from '@nutmegcourse/stand-ins'
import { A, withHostFixture, type FixtureHost, type HostFixture } from './support/hostFixture.js'

const CONNECTION_LIMIT = 12
/** Each has at most one read under way when the server is left out. */
const CALLERS = 6
const WORK_MILLISECONDS = 20
/** Within this time callers must be served by the other servers, and the server have its work back. */
const LIMIT_MILLISECONDS = 2000

const pause = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

/** Hosts that are registered and do nothing. */
function registerHosts(fixture: HostFixture, count: number): void {
  const value = JSON.stringify({ zone: 'zone-1', region: 'region-1', relay: null, weight: 1 })
  const puts = Array.from({ length: count }, (_, index) => {
    return { key: hostKey(`resting-${String(index)}`), value, lease: 0 }
  })
  fixture.store.change({ expected: [], puts, removes: [] })
}

/** Statements of several callers, one after the other each, until `end`. */
function keepAsking(
  fixture: HostFixture,
  host: FixtureHost,
  texts: readonly string[] = ['read 1'],
): { end: () => Promise<string[]> } {
  let isOver = false
  const outcomes: string[] = []
  const work = Array.from({ length: CALLERS }, async () => {
    const caller = await fixture.caller(host, 'bounded')
    while (!isOver) {
      for (const text of texts) outcomes.push(await caller.outcomeOf(text))
    }
  })
  return {
    end: async () => {
      isOver = true
      await Promise.all(work)
      return outcomes
    },
  }
}

/** Numbers of reads that were sent to the server A, and its faults. */
class FaultyServer {
  reads = 0
  fault: (index: number) => CommandFault = () => 'none'

  constructor(fixture: HostFixture, faulty: BackendCommand['kind'] = 'forward') {
    fixture.dialer.hooks.workMilliseconds = WORK_MILLISECONDS
    fixture.dialer.hooks.onCommand = (server, { kind }) => {
      if (server !== A || kind !== faulty) return 'none'
      this.reads += 1
      return this.fault(this.reads)
    }
  }

  async readsDuring(span: number): Promise<number> {
    const before = this.reads
    await pause(span)
    return this.reads - before
  }
}

const has = ({ lines }: FixtureHost, event: string): boolean =>
  lines.some(line => line.event === event && line.fields.server === A)

const failures: readonly (readonly [string, (index: number) => CommandFault])[] = [
  ['fails a third of its statements', index => (index % 3 === 0 ? 'failed' : 'none')],
  ['hangs', () => 'lostBefore'],
  ['resets its connections', () => 'cutAfter'],
]

for (const schedulesSlots of [false, true]) {
  const where = schedulesSlots ? ' where slots are scheduled' : ''

  describe(`a server that is listed as ready${where}`, () => {
    for (const [name, fault] of failures) {
      // Guards against callers that are sent to a failing server as long as it says that it is well.
      it(`and ${name} gets no reads until it has recovered${where}`, async () => {
        await withHostFixture(
          1,
          async (fixture, [host]) => {
            if (host === undefined) return
            registerHosts(fixture, CONNECTION_LIMIT)
            const server = new FaultyServer(fixture)
            const reading = keepAsking(fixture, host)
            await fixture.until(() => server.reads > 20, 'the server gets reads')
            server.fault = fault
            await fixture.until(
              () => has(host, 'server_ejected'),
              'it is left out',
              LIMIT_MILLISECONDS,
            )
            expect(await server.readsDuring(300)).toEqual(expect.between(0, CALLERS))
            server.fault = () => 'none'
            const admitted = () => has(host, 'server_admitted')
            await fixture.until(admitted, 'it is given back', LIMIT_MILLISECONDS)
            expect((await server.readsDuring(500)) > 5).toEqual(true)
            const outcomes = await reading.end()
            expect(outcomes.filter(outcome => outcome !== 'done')).toEqual([])
          },
          { connectionLimit: CONNECTION_LIMIT, schedulesSlots },
        )
      })
    }

    // Guards against a server that is judged by its reads alone and loses every transaction.
    it('and fails to begin transactions is left out', async () => {
      await withHostFixture(
        1,
        async (fixture, [host]) => {
          if (host === undefined) return
          registerHosts(fixture, CONNECTION_LIMIT)
          const server = new FaultyServer(fixture, 'begin')
          server.fault = () => 'failed'
          const reading = keepAsking(fixture, host, ['begin read', 'read 1', 'commit', 'read 1'])
          await fixture.until(
            () => has(host, 'server_ejected'),
            'it is left out',
            LIMIT_MILLISECONDS,
          )
          await reading.end()
        },
        { connectionLimit: CONNECTION_LIMIT, schedulesSlots },
      )
    })

    // Guards against servers judged by hosts that see too little of them.
    it('is not judged where the connection limit is not below the number of hosts', async () => {
      await withHostFixture(
        1,
        async (fixture, [host]) => {
          if (host === undefined) return
          registerHosts(fixture, CONNECTION_LIMIT - 1)
          const server = new FaultyServer(fixture)
          server.fault = () => 'failed'
          const reading = keepAsking(fixture, host)
          await pause(1500)
          await reading.end()
          expect(server.reads > 20).toEqual(true)
          expect(has(host, 'server_ejected')).toEqual(false)
        },
        { connectionLimit: CONNECTION_LIMIT, schedulesSlots },
      )
    })
  })
}
