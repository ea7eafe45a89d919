import { describe, it } from 'node:test'
import { expect } from 'earl'
import { readLogs, type LogsQuery } from '../src/commands/logsCommand.js'
import { parseCommand } from '../src/parseCommand.js'

const line = (second: number, host: string, message: string, fields: object): string =>
  JSON.stringify({
    message,
    entryHost: host,
    zone: 'z',
    level: 'info',
    timestamp: `2026-01-01T00:00:0${second}.000Z`,
    ...fields,
  })

const LOGS = [
  line(4, 'h1', 'statement_refused', { request: 'r1', refusal: 'notRun', detail: 'behind' }),
  `  12.3 h2 ${line(2, 'h2', 'change_claimed', { service: 's', token: 7, reason: 'silent' })}`,
  line(3, 'h1', 'try_failed', { request: 'r1', server: 'i-a', kind: 'refused', refusal: 'behind' }),
  line(1, 'h1', 'primary_suspected', { service: 's', primary: 'i-p', reaches: false }),
  line(1, 'h1', 'primary_suspected', { service: 'other', primary: 'i-q', reaches: false }),
  line(5, 'h1', 'lines_left_out', { of: 'try_failed', lines: 40 }),
  line(4, 'h3', 'promotion_ordered', { service: 's', fencingToken: 9, server: 'i-b' }),
  line(3, 'h3', 'stood_still', { milliseconds: 4100 }),
  line(3, 'h4', 'stood_still', { milliseconds: 300 }),
  line(2, 'h1', 'server_unlisted', { service: 's', server: 'i-c' }),
  line(1, 'h2', 'change_claimed', { service: 'other', token: 6, reason: 'leaving' }),
  'a line of another program',
  '{"cut off',
].join('\n')

describe('readLogs', () => {
  const cases: readonly (readonly [string, LogsQuery, readonly string[]])[] = [
    [
      'returns the lines of one request in order of time',
      { kind: 'request', id: 'r1' },
      ['try_failed', 'statement_refused'],
    ],
    [
      'returns the lines of one change of primary from all hosts',
      { kind: 'change', service: 's' },
      ['primary_suspected', 'change_claimed', 'server_unlisted', 'promotion_ordered'],
    ],
    [
      'returns what happened around one change, by its token',
      { kind: 'token', token: 7 },
      [
        'primary_suspected',
        'change_claimed',
        'server_unlisted',
        'stood_still',
        'promotion_ordered',
      ],
    ],
  ]
  for (const [name, query, events] of cases) {
    it(name, () => {
      const { exitCode: status, output } = readLogs(LOGS, query, true)
      const lines = JSON.parse(output) as { event: string }[]
      expect([status, ...lines.map(({ event }) => event)]).toEqual([0, ...events])
      expect(readLogs(LOGS, query, false).output.split('\n').length).toEqual(events.length + 1)
    })
  }

  it('counts lines by event and reason, including lines that were left out', () => {
    const counts = JSON.parse(readLogs(LOGS, { kind: 'summary' }, true).output) as object
    expect(counts).toEqual({
      'try_failed (left out)': 40,
      primary_suspected: 2,
      stood_still: 2,
      'statement_refused notRun': 1,
      'change_claimed silent': 1,
      'change_claimed leaving': 1,
      promotion_ordered: 1,
      server_unlisted: 1,
      'try_failed behind': 1,
    })
  })

  it('fails when no line matches or the input has no line of an entry host', () => {
    expect(readLogs(LOGS, { kind: 'request', id: 'none' }, false).exitCode).toEqual(2)
    expect(readLogs('', { kind: 'summary' }, false).exitCode).toEqual(2)
  })
})

describe('parseCommand for logs', () => {
  const accepted: readonly (readonly [readonly string[], LogsQuery, readonly string[]])[] = [
    [
      ['logs', 'request', 'r1', 'a.log', 'b.log'],
      { kind: 'request', id: 'r1' },
      ['a.log', 'b.log'],
    ],
    [['logs', 'change', 's', '-'], { kind: 'change', service: 's' }, ['-']],
    [['logs', 'token', '7', 'a.log'], { kind: 'token', token: 7 }, ['a.log']],
    [['logs', 'summary', 'a.log'], { kind: 'summary' }, ['a.log']],
  ]
  for (const [args, query, files] of accepted) {
    it(`accepts ${args.join(' ')}`, () => {
      const parsed = parseCommand(args)
      expect(parsed.isOk() && parsed.value.command).toEqual({
        kind: 'logs',
        question: query,
        files,
      })
    })
  }
  for (const args of [
    ['logs'],
    ['logs', 'request', 'r1'],
    ['logs', 'summary'],
    ['logs', 'x', 'y'],
  ]) {
    it(`refuses ${args.join(' ')}`, () => {
      expect(parseCommand(args).isErr()).toEqual(true)
    })
  }
})

// Guards against a detail that forges lines of other events, or controls the operator's terminal.
describe('a line with a field of any text', () => {
  const details: readonly (readonly [string, string])[] = [
    ['behind by 3', 'detail=behind by 3'],
    ['a\n2026-01-01  h2  change_claimed', 'detail="a\\n2026-01-01  h2  change_claimed"'],
    ['a\r\nb', 'detail="a\\r\\nb"'],
    ['a\u001b[2Jb', 'detail="a\\u001b[2Jb"'],
    ['a\u2028b\u0085c\u009bd', 'detail="a\\u2028b\\u0085c\\u009bd"'],
  ]
  for (const [detail, field] of details) {
    it(`stays one line: ${JSON.stringify(detail)}`, () => {
      const log = line(1, 'h1', 'statement_refused', { request: 'r1', detail })
      const { output } = readLogs(log, { kind: 'request', id: 'r1' }, false)
      expect(output.split('\n').length).toEqual(2)
      expect(output.endsWith(`request=r1 ${field}\n`)).toEqual(true)
    })
  }
})
