import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ok } from 'neverthrow'
import { statementId, type BackendCommand } from '@nutmegcourse/protocol'
import { SystemClock, addMilliseconds } from '@nutmegcourse/shared'
import { ConnectionValues, SessionValues } from '@nutmegcourse/state'
import { attempt } from '../src/attempt.js'
import type { HostContext } from '../src/hostContext.js'
import type { PooledLink } from '../src/pooledLink.js'

const CLOCK = new SystemClock()
const CONTEXT = { clock: CLOCK } as unknown as HostContext

/** A connection whose server knows the names that were prepared on it since its last reset. */
class RecordingConnection {
  readonly commands: string[] = []
  readonly #prepared = new Set<string>()
  readonly #pooled: PooledLink

  constructor() {
    const link = {
      isOpen: true,
      run: (command: BackendCommand) => Promise.resolve(ok(this.#answer(command))),
    }
    this.#pooled = { link, values: new ConnectionValues() } as unknown as PooledLink
  }

  /** Executes the prepared statement `s` of the session, outside a transaction. */
  async execute(session: SessionValues): Promise<string> {
    const outcome = await attempt(CONTEXT, this.#pooled, {
      session,
      statement: {
        id: statementId('x'),
        text: 'EXECUTE s 1',
        body: { kind: 'execute', name: 's', argument: '1' },
      },
      after: null,
      isInTransaction: false,
      verifiesPrimary: false,
      deadline: addMilliseconds(CLOCK.now(), 800),
    })
    if (outcome.kind === 'answered') return 'answered'
    return outcome.mishap.kind === 'refused' ? outcome.mishap.refusal : outcome.mishap.kind
  }

  forgetPrepared(): void {
    this.#prepared.clear()
  }

  #answer(command: BackendCommand) {
    this.commands.push(command.kind)
    if (command.kind === 'reset') this.#prepared.clear()
    if (command.kind === 'prepare') this.#prepared.add(command.name)
    const isUnknown = command.kind === 'execute' && !this.#prepared.has(command.name)
    const signature = command.kind === 'execute' ? 'signed' : null
    const outcome = isUnknown
      ? { kind: 'refused', refusal: 'unknownStatement', detail: '' }
      : { kind: 'done', signature }
    return { rows: [], outcome, status: 'idle', position: null }
  }
}

describe('an attempt to execute a prepared statement', () => {
  const prepared = new SessionValues().withPrepared('s', { effect: 'read', shape: 'q' })
  const cases: readonly (readonly [string, SessionValues, SessionValues, readonly string[]])[] = [
    ['the same values', prepared, prepared, ['execute']],
    ['one more value', prepared, prepared.withValue('a', '1'), ['set', 'execute']],
    ['one value less', prepared.withValue('a', '1'), prepared, ['reset', 'prepare', 'execute']],
  ]
  for (const [name, before, then, commands] of cases) {
    // Guards against a name that the server does not know, since the values of the next session made a reset necessary.
    it(`finds it on a connection that another session executed it on, with ${name}`, async () => {
      const connection = new RecordingConnection()
      expect(await connection.execute(before)).toEqual('answered')
      connection.commands.length = 0
      expect(await connection.execute(then)).toEqual('answered')
      expect(connection.commands).toEqual([...commands])
    })
  }

  // Guards against a connection that goes on executing a name that its server has forgotten.
  it('prepares it again after the server did not know it', async () => {
    const connection = new RecordingConnection()
    expect(await connection.execute(prepared)).toEqual('answered')
    connection.forgetPrepared()
    expect(await connection.execute(prepared)).toEqual('unknownStatement')
    expect(await connection.execute(prepared)).toEqual('answered')
  })

  it('sends nothing, and keeps what it knows of the connection, when there is no such statement', async () => {
    const connection = new RecordingConnection()
    expect(await connection.execute(new SessionValues().withValue('a', '1'))).toEqual(
      'unknownStatement',
    )
    expect(connection.commands).toEqual([])
    expect(await connection.execute(prepared.withValue('a', '1'))).toEqual('answered')
    expect(connection.commands).toEqual(['set', 'prepare', 'execute'])
  })
})
