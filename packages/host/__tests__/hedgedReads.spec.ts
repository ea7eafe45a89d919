import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { BackendServerId } from '@nutmegcourse/shared'
import { Slots } from '@nutmegcourse/stand-ins'
import type { Caller } from './support/caller.js'
import { A, B, withHostFixture, type FixtureHost, type HostFixture } from './support/hostFixture.js'

/** Of this limit one host holds one connection to each server. */
const CONNECTION_LIMIT = 2
/** The statement whose runs are observed. */
const READ = 'x'
/** By this time after its caller's answer, an attempt that got a connection has run. */
const AFTERWARDS_MILLISECONDS = 100

/** What the servers ran the read with: the shape of the prepared statement, and the session's values. */
function observeRuns(fixture: HostFixture): readonly string[] {
  const runs: string[] = []
  const shapes = new Map<string, string>()
  const values = new Map<BackendServerId, string>()
  // Each server has one connection.
  fixture.dialer.hooks.onCommand = (server, command) => {
    if (command.kind === 'reset') values.delete(server)
    if (command.kind === 'set') values.set(server, command.value)
    if (command.kind === 'prepare') shapes.set(`${server} ${command.name}`, command.shape)
    if (command.kind === 'execute' && command.id === READ) {
      const shape = shapes.get(`${server} ${command.name}`) ?? 'none'
      runs.push(`${shape} ${values.get(server) ?? 'unset'}`)
    }
    return 'none'
  }
  return runs
}

/** Begins a reading transaction, which keeps the only connection to a replica. */
async function holdReplica(
  fixture: HostFixture,
  host: FixtureHost,
): Promise<{ readonly holder: Caller; readonly replica: BackendServerId }> {
  const holder = await fixture.caller(host, 'bounded')
  await holder.outcomeOf('begin read')
  await holder.outcomeOf('read 1', 'held')
  const replica = [A, B].find(each => fixture.group.executedStatements.includes(`${each}:held`))
  if (replica === undefined) throw new Error('the transaction began at the primary')
  return { holder, replica }
}

/** Statements at all other servers wait until the returned function is called. */
function holdStatements(fixture: HostFixture, except: BackendServerId): () => void {
  const slots = new Slots(1)
  let release = (): void => undefined
  void slots.run(() => new Promise<void>(resolve => (release = resolve)))
  fixture.dialer.hooks.slotsOf = server => (server === except ? undefined : slots)
  return () => {
    release()
  }
}

for (const schedulesSlots of [false, true]) {
  const where = schedulesSlots ? ' where slots are scheduled' : ''

  describe(`a read that is sent to two servers${where}`, () => {
    const nexts: readonly (readonly [string, readonly string[]])[] = [
      ['prepares the name anew', ['close s', 'prepare s read q2']],
      ['sets a value', ['set a 2']],
      ['waits', []],
    ]
    for (const [what, texts] of nexts) {
      // Guards against a statement that runs after its answer, with what its session prepared or set since.
      it(`does not run after its answer when its caller ${what}`, async () => {
        await withHostFixture(
          1,
          async (fixture, [host]) => {
            if (host === undefined) return
            const runs = observeRuns(fixture)
            const { holder, replica } = await holdReplica(fixture, host)
            const release = holdStatements(fixture, replica)
            const caller = await fixture.caller(host, 'bounded')
            for (const text of ['set a 1', 'prepare s read q1']) await caller.outcomeOf(text)
            const answer = caller.outcomeOf('execute s 1', READ)
            const isHedged = () => host.lines.some(({ event }) => event === 'read_hedged')
            await fixture.until(isHedged, 'the read is sent to a second server')
            release()
            expect(await answer).toEqual('done')
            for (const text of texts) expect(await caller.outcomeOf(text)).toEqual('done')
            expect(await holder.outcomeOf('commit')).toEqual('done')
            await new Promise(resolve => setTimeout(resolve, AFTERWARDS_MILLISECONDS))
            expect(runs).toEqual(['q1 1'])
          },
          { connectionLimit: CONNECTION_LIMIT, schedulesSlots },
        )
      })
    }

    // Guards against a promise that nothing ran, made for the attempt that was not sent although the other one was.
    it('is not refused as not run when one of the servers received it', async () => {
      await withHostFixture(
        1,
        async (fixture, [host]) => {
          if (host === undefined) return
          const runs = observeRuns(fixture)
          const { holder, replica } = await holdReplica(fixture, host)
          const release = holdStatements(fixture, replica)
          const caller = await fixture.caller(host, 'bounded')
          await caller.outcomeOf('prepare s read q1')
          expect(await caller.outcomeOf('execute s 1', READ)).toEqual('timeout')
          release()
          await fixture.until(() => runs.length === 1, 'the server runs the read')
          expect(await holder.outcomeOf('commit')).toEqual('done')
        },
        { connectionLimit: CONNECTION_LIMIT, schedulesSlots },
      )
    })
  })
}
