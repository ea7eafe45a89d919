import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  CommandPipeline,
  statementId,
  type BackendCommand,
  type BackendOutcome,
  type BackendReply,
  type LinkFailure,
  type SessionStatus,
} from '@nutmegcourse/protocol'
import { SystemClock, addMilliseconds, logPosition } from '@nutmegcourse/shared'
import { ConnectionValues, SessionValues } from '@nutmegcourse/state'
import { attempt } from '../src/attempt.js'
import type { HostContext } from '../src/hostContext.js'
import type { PooledLink } from '../src/pooledLink.js'

const CLOCK = new SystemClock()
const CONTEXT = { clock: CLOCK } as unknown as HostContext
const POSITION = logPosition(1, 2)
const LOST: LinkFailure = { kind: 'connectionLost' }

const reply = (outcome: BackendOutcome, status: SessionStatus): BackendReply => ({
  rows: [],
  outcome,
  status,
  position: POSITION,
})
const done = (status: SessionStatus, signature: string | null = null): BackendReply =>
  reply({ kind: 'done', signature }, status)

/** A connection whose server may repeat the answers to the BEGIN and the ROLLBACK of the lead check before. */
class CheckedConnection {
  readonly #pipeline = new CommandPipeline(CLOCK, command => {
    this.#answers.push(this.#answerTo(command))
  })
  readonly #pooled: PooledLink
  #answers: BackendReply[] = []
  #isOpen = false
  leads = true

  constructor() {
    const link = {
      isOpen: true,
      run: (command: BackendCommand) => this.#pipeline.run(command),
    }
    this.#pooled = { link, values: new ConnectionValues() } as unknown as PooledLink
  }

  /** `repeated`: answers of before that arrive behind the read's. */
  async read(id: string, repeated: readonly BackendReply[] = []): Promise<string> {
    const read = attempt(CONTEXT, this.#pooled, {
      session: new SessionValues(),
      statement: { id: statementId(id), text: 'READ a', body: { kind: 'read' } },
      after: null,
      isInTransaction: false,
      verifiesPrimary: true,
      deadline: addMilliseconds(CLOCK.now(), 800),
    })
    const [own, ...others] = this.#answers
    this.#answers = []
    if (own !== undefined) this.#deliver([own, ...repeated, ...others])
    const outcome = await read
    if (outcome.kind === 'answered') return outcome.signature
    return outcome.mishap.kind === 'refused' ? outcome.mishap.refusal : outcome.mishap.kind
  }

  #deliver(answers: readonly BackendReply[]): void {
    const queue = [...answers]
    for (let answer = queue.shift(); answer !== undefined; answer = queue.shift()) {
      const isUnfit = this.#pipeline.receive(answer) !== null
      // What the pipeline sends to confirm a refusal is answered behind what has been sent.
      queue.push(...this.#answers)
      this.#answers = []
      if (isUnfit) this.#pipeline.fail(LOST)
    }
  }

  #answerTo(command: BackendCommand): BackendReply {
    switch (command.kind) {
      case 'forward':
        return done('idle', `7.${command.id}`)
      case 'begin':
        this.#isOpen = this.leads
        return this.leads
          ? done('open')
          : reply({ kind: 'refused', refusal: 'notPrimary', detail: 'READONLY i-1' }, 'idle')
      case 'rollback':
        this.#isOpen = false
        return done('idle')
      case 'execute':
      case 'set':
      case 'prepare':
      case 'close':
      case 'reset':
      case 'report':
      case 'pause':
      case 'resume':
      case 'stepDown':
        return done(this.#isOpen ? 'open' : 'idle')
    }
  }
}

// Guards against a read from the log of a replaced primary: the answers to an earlier lead check, both repeated, stood
// in for those to its own.
describe('a read with a lead check behind it', () => {
  const BEGUN = done('open')
  const ENDED = done('idle')
  const cases: readonly (readonly [string, boolean, readonly BackendReply[], string])[] = [
    ['is answered by the primary', true, [], '7.r2'],
    ['is refused by a server that lost the lead', false, [], 'notPrimary'],
    ['is not answered if one answer is repeated', false, [BEGUN], 'lost'],
    ['is not answered if both answers are repeated', false, [BEGUN, ENDED], 'lost'],
    ['is not answered if the primary repeats both answers', true, [BEGUN, ENDED], 'lost'],
  ]
  for (const [what, leads, repeated, outcome] of cases) {
    it(what, async () => {
      const connection = new CheckedConnection()
      expect(await connection.read('r1')).toEqual('7.r1')
      connection.leads = leads
      expect(await connection.read('r2', repeated)).toEqual(outcome)
    })
  }
})
