/** The statements that the stand-in supports, recognised by a table of patterns. */
import { term } from '@nutmegcourse/shared'
import { countParameters, LITERAL, literalValue, withoutComments } from './statementText.js'
import type { Column } from './wire/backendFrames.js'

export type TransactionStart = 'readWrite' | 'readOnly' | 'default'

/** A parsed statement with its literal values bound. */
export type Statement =
  | { readonly kind: 'begin'; readonly start: TransactionStart }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'setSessionAccess'; readonly readOnly: boolean }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'show'; readonly name: string }
  | { readonly kind: 'discardAll' }
  | { readonly kind: 'deallocate'; readonly name: string | null }
  | { readonly kind: 'insertEntry'; readonly key: string; readonly value: string }
  | { readonly kind: 'upsertEntry'; readonly key: string; readonly value: string }
  /** Writes a number unless the stored one is equal or greater. */
  | { readonly kind: 'raiseEntry'; readonly key: string; readonly value: string }
  | { readonly kind: 'updateEntry'; readonly key: string; readonly value: string }
  | { readonly kind: 'deleteEntry'; readonly key: string }
  | { readonly kind: 'selectEntry'; readonly key: string }
  /** Also returns the role of the answering server, so that callers can count replica reads. */
  | { readonly kind: 'selectEntryWithRole'; readonly key: string }
  | { readonly kind: 'selectEntries' }
  | { readonly kind: 'countEntries' }
  | { readonly kind: 'insertEvent'; readonly id: string; readonly value: string }
  | { readonly kind: 'selectEvents'; readonly id: string | null }
  | { readonly kind: 'countEvents' }
  | { readonly kind: 'selectLiteral'; readonly name: string; readonly value: string | null }
  | { readonly kind: 'sleep'; readonly milliseconds: number }
  | { readonly kind: 'generateRows'; readonly count: number; readonly bytes: number }
  | ControlStatement

export interface FollowCall {
  readonly kind: 'follow'
  readonly term: ReturnType<typeof term>
  readonly address: string
  readonly port: number
}

type ReportCall =
  | { readonly kind: 'position' }
  | { readonly kind: 'fence'; readonly term: ReturnType<typeof term> }
  | { readonly kind: 'promote'; readonly term: ReturnType<typeof term> }
  | FollowCall

/** Returns a report and, unless it is null, the number. */
export type ReportStatement = ReportCall & { readonly number: string | null }

/** Sent by the fleet or, for lag, paused replication and counts, by a test. Does not occupy a slot. */
export type ControlStatement =
  | ReportStatement
  | { readonly kind: 'setLag'; readonly milliseconds: number }
  | { readonly kind: 'pauseReplication'; readonly paused: boolean }
  /** Number of reads and writes that the server has run since it started. */
  | { readonly kind: 'countStatements' }
  /** The peak number of concurrent connections and the number of refused ones. */
  | { readonly kind: 'countConnections' }

interface Shape {
  readonly pattern: RegExp
  readonly columns: readonly Column[] | null
  /** Builds the statement from its captures; a capture is null if absent or a null parameter. */
  readonly read: (values: readonly (string | null)[]) => Statement
}

const textColumn = (name: string): Column => ({ name, type: 'text' })
const bigintColumn = (name: string): Column => ({ name, type: 'bigint' })

const REPORT_COLUMNS = [
  textColumn('role'),
  bigintColumn('term'),
  bigintColumn('log_offset'),
  bigintColumn('fenced_term'),
]
const NUMBERED_REPORT_COLUMNS = [...REPORT_COLUMNS, bigintColumn('number')]
const REPORT = String.raw`select role, term, log_offset, fenced_term(?:, (\d+) as number)? from `
const MILLISECONDS_IN_SECOND = 1000

const valueOrEmpty = (value: string | null | undefined): string => value ?? ''

function shape(pattern: string, columns: Shape['columns'], read: Shape['read']): Shape {
  const flexible = pattern.replaceAll(', ', String.raw`\s*,\s*`).replaceAll(' ', String.raw`\s+`)
  return { pattern: new RegExp(`^${flexible}$`, 'is'), columns, read }
}

function reportShape(
  call: string,
  read: (values: readonly (string | null)[]) => ReportCall,
): Shape {
  return shape(`${REPORT}${call}`, REPORT_COLUMNS, ([number, ...values]) => ({
    ...read(values),
    number: number ?? null,
  }))
}

const L = LITERAL
const INSERT_ENTRY = String.raw`insert into entries ?\(key, value\) values ?\(${L}, ${L}\)`

const SHAPES: readonly Shape[] = [
  reportShape(String.raw`platform_position\(\)`, () => ({ kind: 'position' })),
  reportShape(String.raw`platform_fence\((\d+)\)`, ([requestedTerm]) => ({
    kind: 'fence',
    term: term(Number(requestedTerm)),
  })),
  reportShape(String.raw`platform_promote\((\d+)\)`, ([requestedTerm]) => ({
    kind: 'promote',
    term: term(Number(requestedTerm)),
  })),
  reportShape(
    String.raw`platform_follow\((\d+), '([^']+)', (\d+)\)`,
    ([primaryTerm, address, port]) => ({
      kind: 'follow',
      term: term(Number(primaryTerm)),
      address: valueOrEmpty(address),
      port: Number(port),
    }),
  ),
  shape(
    String.raw`select platform_lag\((\d+)\)`,
    [bigintColumn('platform_lag')],
    ([milliseconds]) => ({
      kind: 'setLag',
      milliseconds: Number(milliseconds),
    }),
  ),
  shape(
    String.raw`select platform_pause_replication\((true|false)\)`,
    [textColumn('platform_pause_replication')],
    ([paused]) => ({ kind: 'pauseReplication', paused: paused?.toLowerCase() === 'true' }),
  ),
  shape(
    String.raw`select peak, refused from platform_connections\(\)`,
    [bigintColumn('peak'), bigintColumn('refused')],
    () => ({ kind: 'countConnections' }),
  ),
  shape(String.raw`select platform_statement_count\(\)`, [bigintColumn('count')], () => ({
    kind: 'countStatements',
  })),
  shape(
    String.raw`(?:begin|start transaction)(?: (?:transaction|work))?(?: (?:isolation level [a-z ]+?))?(?: (read only|read write))?`,
    null,
    ([access]) => ({ kind: 'begin', start: readTransactionStart(access ?? null) }),
  ),
  shape(String.raw`(?:commit|end)(?: (?:transaction|work))?`, null, () => ({ kind: 'commit' })),
  shape(String.raw`(?:rollback|abort)(?: (?:transaction|work))?`, null, () => ({
    kind: 'rollback',
  })),
  shape('set session characteristics as transaction (read only|read write)', null, ([access]) => ({
    kind: 'setSessionAccess',
    readOnly: /only/i.test(valueOrEmpty(access)),
  })),
  shape(String.raw`set (?:session |local )?([a-z_.]+)(?: to | ?= ?)(.+)`, null, values => ({
    kind: 'set',
    name: valueOrEmpty(values[0]).toLowerCase(),
    value: valueOrEmpty(values[1]).replace(/^'(.*)'$/, '$1'),
  })),
  shape('show ([a-z_.]+)', [textColumn('setting')], ([name]) => ({
    kind: 'show',
    name: valueOrEmpty(name).toLowerCase(),
  })),
  shape('discard all', null, () => ({ kind: 'discardAll' })),
  shape(String.raw`deallocate (?:prepare )?("?[\w]+"?)`, null, ([name]) => ({
    kind: 'deallocate',
    name:
      valueOrEmpty(name).toLowerCase() === 'all' ? null : valueOrEmpty(name).replaceAll('"', ''),
  })),
  shape(INSERT_ENTRY, null, ([key, value]) => ({
    kind: 'insertEntry',
    key: valueOrEmpty(key),
    value: valueOrEmpty(value),
  })),
  shape(
    String.raw`${INSERT_ENTRY} on conflict ?\(key\) do update set value ?= ?excluded.value`,
    null,
    ([key, value]) => ({ kind: 'upsertEntry', key: valueOrEmpty(key), value: valueOrEmpty(value) }),
  ),
  shape(
    String.raw`${INSERT_ENTRY} on conflict ?\(key\) do update set value ?= ?excluded.value where entries.value::bigint < excluded.value::bigint`,
    null,
    ([key, value]) => ({ kind: 'raiseEntry', key: valueOrEmpty(key), value: valueOrEmpty(value) }),
  ),
  shape(String.raw`update entries set value ?= ?${L} where key ?= ?${L}`, null, ([value, key]) => ({
    kind: 'updateEntry',
    key: valueOrEmpty(key),
    value: valueOrEmpty(value),
  })),
  shape(String.raw`delete from entries where key ?= ?${L}`, null, ([key]) => ({
    kind: 'deleteEntry',
    key: valueOrEmpty(key),
  })),
  shape(
    String.raw`select value from entries where key ?= ?${L}`,
    [textColumn('value')],
    ([key]) => ({ kind: 'selectEntry', key: valueOrEmpty(key) }),
  ),
  shape(
    String.raw`select value, platform_role\(\) from entries where key ?= ?${L}`,
    [textColumn('value'), textColumn('platform_role')],
    ([key]) => ({ kind: 'selectEntryWithRole', key: valueOrEmpty(key) }),
  ),
  shape('select key, value from entries', [textColumn('key'), textColumn('value')], () => ({
    kind: 'selectEntries',
  })),
  shape(String.raw`select count\(\*\) from entries`, [bigintColumn('count')], () => ({
    kind: 'countEntries',
  })),
  shape(String.raw`insert into events ?\(id, value\) values ?\(${L}, ${L}\)`, null, values => ({
    kind: 'insertEvent',
    id: valueOrEmpty(values[0]),
    value: valueOrEmpty(values[1]),
  })),
  shape(
    String.raw`select id, value from events(?: where id ?= ?${L})?`,
    [textColumn('id'), textColumn('value')],
    ([id]) => ({ kind: 'selectEvents', id: id ?? null }),
  ),
  shape(String.raw`select count\(\*\) from events`, [bigintColumn('count')], () => ({
    kind: 'countEvents',
  })),
  shape(String.raw`select pg_sleep\(${L}\)`, [textColumn('pg_sleep')], ([seconds]) => ({
    kind: 'sleep',
    milliseconds: Number(seconds) * MILLISECONDS_IN_SECOND,
  })),
  shape(
    String.raw`select generate_rows\(${L}, ${L}\)`,
    [textColumn('generate_rows')],
    ([count, bytes]) => ({ kind: 'generateRows', count: Number(count), bytes: Number(bytes) }),
  ),
  shape(String.raw`select ${L}(?:::[a-z]+)?(?: as ([a-z_]+))?`, null, ([value, name]) => ({
    kind: 'selectLiteral',
    value: value ?? null,
    name: name ?? '?column?',
  })),
]

/** A recognised statement whose literals are not bound yet; Parse stores it. */
export class ParsedStatement {
  readonly parameterCount: number
  readonly #shape: Shape
  readonly #captured: readonly (string | undefined)[]

  constructor(text: string, found: Shape, captured: readonly (string | undefined)[]) {
    this.parameterCount = countParameters(text)
    this.#shape = found
    this.#captured = captured
  }

  /** Null when the statement returns no rows. */
  get columns(): readonly Column[] | null {
    const statement = this.bind([])
    if (statement.kind === 'selectLiteral') return [textColumn(statement.name)]
    if (statement.kind === 'show') return [textColumn(statement.name)]
    if ('number' in statement && statement.number !== null) return NUMBERED_REPORT_COLUMNS
    return this.#shape.columns
  }

  bind(parameters: readonly (string | null)[]): Statement {
    const values = this.#captured.map(captured => {
      if (captured === undefined) return null
      return isLiteral(captured) ? literalValue(captured, parameters) : captured
    })
    return this.#shape.read(values)
  }
}

/** Null when no pattern matches; the caller handles an empty text. */
export function parseStatement(text: string): ParsedStatement | null {
  const stripped = withoutComments(text).replace(/;\s*$/, '')
  for (const candidate of SHAPES) {
    const match = candidate.pattern.exec(stripped)
    if (match !== null) return new ParsedStatement(stripped, candidate, match.slice(1))
  }
  return null
}

const isLiteral = (captured: string): boolean => /^(?:'[\s\S]*'|\$\d+)$/.test(captured)

function readTransactionStart(access: string | null): TransactionStart {
  if (access === null) return 'default'
  return /only/i.test(access) ? 'readOnly' : 'readWrite'
}
