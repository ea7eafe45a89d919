import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ConnectionValues, SessionValues } from '../../src/index.js'

const session = (values: Readonly<Record<string, string>>): SessionValues =>
  new SessionValues(new Map(Object.entries(values)))

interface Case {
  readonly name: string
  readonly before: Readonly<Record<string, string>>
  readonly then: Readonly<Record<string, string>>
  readonly sent: readonly string[]
  readonly distance: number
}

/**
 * Guards against a caller that finds another caller's setting in force, or its own lost, because both used one
 * connection one after the other.
 */
const CASES: readonly Case[] = [
  {
    name: 'sends nothing for the same session again',
    before: { a: '1' },
    then: { a: '1' },
    sent: [],
    distance: 0,
  },
  {
    name: 'sets one more value',
    before: { a: '1' },
    then: { a: '1', b: '2' },
    sent: ['set b 2'],
    distance: 1,
  },
  {
    name: 'sets a changed value',
    before: { a: '1' },
    then: { a: '2' },
    sent: ['set a 2'],
    distance: 1,
  },
  {
    name: 'resets if the next session lacks a value',
    before: { a: '1', b: '2' },
    then: { a: '1' },
    sent: ['reset', 'set a 1'],
    distance: 1,
  },
  {
    name: 'resets if the next session has no values',
    before: { a: '1' },
    then: {},
    sent: ['reset'],
    distance: 1,
  },
]

const commandsOf = (
  values: ConnectionValues,
  sessionValues: SessionValues,
  isInTransaction = false,
): string[] =>
  values
    .commandsToAdopt(sessionValues, isInTransaction)
    .map(command =>
      command.kind === 'set' ? `set ${command.name} ${command.value}` : command.kind,
    )

describe('SessionValues', () => {
  // Guards against a statement that runs with what its session set or prepared after the statement had arrived.
  const changes: readonly (readonly [string, (from: SessionValues) => SessionValues])[] = [
    ['a new value', from => from.withValue('b', '2')],
    ['another value of the same name', from => from.withValue('a', '2')],
    ['a new prepared statement', from => from.withPrepared('t', { effect: 'read', shape: 'q2' })],
    ['another shape of a name', from => from.withPrepared('s', { effect: 'write', shape: 'q2' })],
    ['the close of a name', from => from.withoutPrepared('s')],
  ]
  const contentOf = ({ values, prepared }: SessionValues): unknown => [[...values], [...prepared]]
  for (const [name, change] of changes) {
    it(`stays as it was: ${name}`, () => {
      const made = session({ a: '1' }).withPrepared('s', { effect: 'read', shape: 'q1' })
      const before = contentOf(made)
      expect(contentOf(change(made))).not.toEqual(before)
      expect(contentOf(made)).toEqual(before)
    })
  }
})

describe('ConnectionValues', () => {
  for (const { name, before, then, sent, distance } of CASES) {
    it(name, () => {
      const values = new ConnectionValues()
      values.commandsToAdopt(session(before), false)
      expect(values.distance(session(then))).toEqual(distance)
      expect(commandsOf(values, session(then))).toEqual([...sent])
      expect(commandsOf(values, session(then))).toEqual([])
    })
  }

  // A caller sets a value inside a transaction and rolls back; the server may have undone it. The
  // next user of the connection must not rely on either.
  it('resets after values were set inside a transaction', () => {
    const values = new ConnectionValues()
    expect(commandsOf(values, session({ a: '1' }), true)).toEqual(['set a 1'])
    expect(commandsOf(values, session({ a: '1' }))).toEqual(['reset', 'set a 1'])
  })

  it('shares prepared statements of the same effect and shape, and no others', () => {
    const values = new ConnectionValues()
    const read = values.prepare({ effect: 'read', shape: 'q' })
    const write = values.prepare({ effect: 'write', shape: 'q' })
    expect(read.commands.length).toEqual(1)
    expect(write.name === read.name).toEqual(false)
    expect(values.prepare({ effect: 'read', shape: 'q' })).toEqual({
      name: read.name,
      commands: [],
    })
  })

  it('prepares statements again after a reset', () => {
    const values = new ConnectionValues()
    values.commandsToAdopt(session({ a: '1' }), false)
    values.prepare({ effect: 'read', shape: 'q' })
    values.commandsToAdopt(session({}), false)
    expect(values.prepare({ effect: 'read', shape: 'q' }).commands.length).toEqual(1)
  })

  it('keeps a bounded number of prepared statements', () => {
    const values = new ConnectionValues()
    for (let index = 0; index < 64; index += 1) {
      values.prepare({ effect: 'read', shape: `q${String(index)}` })
    }
    const { commands } = values.prepare({ effect: 'read', shape: 'one more' })
    expect(commands.map(({ kind }) => kind)).toEqual(['close', 'prepare'])
  })
})
