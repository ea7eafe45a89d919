import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { StatementBody } from '@nutmegcourse/protocol'
import { statementId } from '@nutmegcourse/protocol'
import { SystemClock, digestOfKey, logPosition } from '@nutmegcourse/shared'
import type { HostContext } from '../src/hostContext.js'
import type { RouteLookup } from '../src/routeLookup.js'
import { SessionStatements } from '../src/sessionStatements.js'
import type { Runner, StatementRequest } from '../src/statements.js'

const CONTEXT = {
  clock: new SystemClock(),
  log: { write: () => undefined },
} as unknown as HostContext

const ROUTES = {
  find: () => ({
    route: { name: 'r-1', statementTimeoutMilliseconds: 800, latencyTargetMilliseconds: 600 },
    service: { primary: null },
  }),
  identify: () => ({ kind: 'anyone' }),
} as unknown as RouteLookup

/** Keeps the request of each statement, as an attempt does that outlives its answer. */
class SessionBench {
  readonly requests: StatementRequest[] = []
  readonly #statements: SessionStatements

  constructor() {
    const runner = {
      single: (request: StatementRequest) => {
        this.requests.push(request)
        const position = logPosition(1, this.requests.length)
        const answer = { kind: 'rows', rows: [], signature: 's' } as const
        const own = request.isWrite ? { ownPosition: position } : {}
        return Promise.resolve({ answer, position, ...own })
      },
    } as unknown as Runner
    this.#statements = new SessionStatements(CONTEXT, ROUTES, runner, 'd', digestOfKey('k'))
  }

  async serve(body: StatementBody): Promise<void> {
    const id = statementId(String(this.requests.length))
    const { answer } = await this.#statements.serve({ id, text: '', body })
    if (answer.kind === 'refused') throw new Error(`${body.kind} was refused: ${answer.detail}`)
  }

  /** What the statement with the given index runs with now. */
  stateOf(index: number): readonly unknown[] {
    const { values, ownPosition } = this.requests[index]?.session ?? {}
    const prepared = values?.prepared.get('s')?.shape ?? null
    return [values?.values.get('a') ?? null, prepared, ownPosition?.offset ?? null]
  }
}

const SET: StatementBody = { kind: 'set', name: 'a', value: '1' }
const PREPARE: StatementBody = { kind: 'prepare', name: 's', effect: 'read', shape: 'q1' }
const READ: StatementBody = { kind: 'read' }

describe('SessionStatements', () => {
  // Guards against an attempt that outlives the answer of its statement and runs with what the session has since.
  const changes: readonly (readonly [string, StatementBody, readonly unknown[]])[] = [
    ['sets a value', { ...SET, value: '2' }, ['2', 'q1', null]],
    ['prepares the name anew', { ...PREPARE, shape: 'q2' }, ['1', 'q2', null]],
    ['closes the name', { kind: 'close', name: 's' }, ['1', null, null]],
    ['writes', { kind: 'write' }, ['1', 'q1', 2]],
  ]
  for (const [what, change, after] of changes) {
    it(`leaves a statement as it arrived when the session ${what}`, async () => {
      const bench = new SessionBench()
      for (const body of [SET, PREPARE, READ, change, READ]) await bench.serve(body)
      expect(bench.stateOf(0)).toEqual(['1', 'q1', null])
      expect(bench.stateOf(bench.requests.length - 1)).toEqual([...after])
    })
  }
})
