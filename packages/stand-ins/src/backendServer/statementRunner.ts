/** Runs the statements of one session against the instance: transactions, rows and SQL errors. */
import { setTimeout as delay } from 'node:timers/promises'
import { err, ok, type Result } from 'neverthrow'
import type { PositionReport } from '@nutmegcourse/protocol'
import { assertNever } from '@nutmegcourse/shared'
import { READ_ONLY_ERROR, type DatabaseInstance } from './databaseInstance.js'
import type { Slots } from './slots.js'
import {
  isControl,
  isSession,
  isWrite,
  type DataStatement,
  type ReadStatement,
  type SessionStatement,
  type WriteStatement,
} from './statementKinds.js'
import type { ControlStatement, Statement } from './statements.js'
import { Transaction } from './transaction.js'
import type { SqlError, TransactionStatus } from './wire/backendFrames.js'

export type Row = readonly (string | null)[]

/** Rows may be generated lazily while they are sent. */
export interface Answer {
  readonly tag: (rowCount: number) => string
  readonly rows: Iterable<Row>
}

type Outcome = Result<Answer, SqlError>

export interface RunnerOptions {
  readonly instance: DatabaseInstance
  readonly slots: Slots
  /** How long each statement occupies its slot. */
  readonly serviceMilliseconds: number
  readonly control: (statement: ControlStatement) => Outcome
}

const ABORTED_ERROR: SqlError = {
  code: '25P02',
  message: 'current transaction is aborted, commands ignored until end of transaction block',
}
const CANCELLED_ERROR: SqlError = {
  code: '57014',
  message: 'canceling statement due to user request',
}

export const completed = (tag: string, rows: Iterable<Row> = []): Outcome =>
  ok({ tag: () => tag, rows })
const selected = (rows: Iterable<Row>): Outcome => ok({ tag: count => `SELECT ${count}`, rows })

export function reportAnswer(report: PositionReport, number: string | null): Outcome {
  const { term, offset } = report.position
  const row = [report.role, String(term), String(offset), String(report.fencedTerm)]
  return selected([number === null ? row : [...row, number]])
}

export class StatementRunner {
  readonly #options: RunnerOptions
  readonly #settings = new Map<string, string>()
  #transaction: Transaction | null = null
  #explicit = false
  #failed = false
  #readOnly = false
  #cancellation: AbortController | null = null
  #terminated = false

  constructor(options: RunnerOptions) {
    this.#options = options
  }

  get status(): TransactionStatus {
    if (this.#failed) return 'E'
    return this.#explicit ? 'T' : 'I'
  }

  get terminated(): boolean {
    return this.#terminated
  }

  /** Called when the server closes this session: no later commit may take effect. */
  terminate(): void {
    this.#terminated = true
    this.cancel()
  }

  cancel(): void {
    this.#cancellation?.abort()
  }

  /** Marks an explicit transaction as failed and discards an implicit one. */
  fail(): void {
    this.#failed = this.#explicit
    if (!this.#explicit) this.#transaction = null
  }

  /** Starts the implicit transaction shared by several statements of one Query message. */
  beginImplicit(): void {
    this.#transaction ??= this.#newTransaction(this.#readOnly)
  }

  commitImplicit(): Outcome {
    if (this.#explicit) return completed('')
    return this.#commit(this.#takeTransaction())
  }

  async run(statement: Statement): Promise<Outcome> {
    const outcome = await this.#runChecked(statement)
    if (outcome.isErr()) this.fail()
    return outcome
  }

  async #runChecked(statement: Statement): Promise<Outcome> {
    const endsTransaction = statement.kind === 'rollback' || statement.kind === 'commit'
    if (this.#failed && !endsTransaction) return err(ABORTED_ERROR)
    if (isControl(statement)) return this.#options.control(statement)
    return isSession(statement) ? this.#runSession(statement) : this.#runInSlot(statement)
  }

  #runSession(statement: SessionStatement): Outcome {
    switch (statement.kind) {
      case 'setSessionAccess':
        this.#readOnly = statement.readOnly
        return completed('SET')
      case 'set':
        this.#settings.set(statement.name, statement.value)
        return completed('SET')
      case 'show':
        return selected([[this.#settings.get(statement.name) ?? '']])
      case 'discardAll':
        return this.#discardAll()
      case 'deallocate':
        return completed('DEALLOCATE')
      case 'begin':
        return this.#begin(statement.start)
      case 'rollback':
        this.#takeTransaction()
        return completed('ROLLBACK')
      case 'commit':
        return this.#failed ? this.#rollbackFailed() : this.#commitExplicit()
      default:
        return assertNever(statement)
    }
  }

  #discardAll(): Outcome {
    if (this.#explicit) {
      return err({ code: '25001', message: 'DISCARD ALL cannot run inside a transaction block' })
    }
    this.#settings.clear()
    this.#readOnly = false
    return completed('DISCARD ALL')
  }

  #begin(start: 'readWrite' | 'readOnly' | 'default'): Outcome {
    if (!this.#explicit) {
      this.#explicit = true
      this.#transaction = this.#newTransaction(
        start === 'default' ? this.#readOnly : start === 'readOnly',
      )
    }
    return completed('BEGIN')
  }

  #rollbackFailed(): Outcome {
    this.#takeTransaction()
    return completed('ROLLBACK')
  }

  #commitExplicit(): Outcome {
    return this.#commit(this.#takeTransaction())
  }

  #commit(transaction: Transaction | null): Outcome {
    if (this.#terminated) return err(CANCELLED_ERROR)
    if (transaction === null) return completed('COMMIT')
    return transaction.finish().andThen(changes => {
      if (changes.length === 0) return completed('COMMIT')
      return this.#options.instance.commit(changes).andThen(() => completed('COMMIT'))
    })
  }

  #takeTransaction(): Transaction | null {
    const transaction = this.#transaction
    this.#transaction = null
    this.#explicit = false
    this.#failed = false
    return transaction
  }

  #newTransaction(readOnly: boolean): Transaction {
    return new Transaction(this.#options.instance.tables, readOnly)
  }

  async #runInSlot(statement: DataStatement): Promise<Outcome> {
    const cancellation = new AbortController()
    this.#cancellation = cancellation
    try {
      return await this.#options.slots.run(async () => {
        const slotMilliseconds = this.#slotMilliseconds(statement)
        if (slotMilliseconds > 0)
          await delay(slotMilliseconds, undefined, { signal: cancellation.signal })
        if (cancellation.signal.aborted) return err(CANCELLED_ERROR)
        return this.#runData(statement)
      })
    } catch (error) {
      if (!cancellation.signal.aborted) throw error
      return err(CANCELLED_ERROR)
    } finally {
      this.#cancellation = null
    }
  }

  #slotMilliseconds(statement: DataStatement): number {
    const sleeping = statement.kind === 'sleep' ? statement.milliseconds : 0
    return this.#options.serviceMilliseconds + sleeping
  }

  /** A statement outside a transaction runs in its own, which commits before the answer. */
  #runData(statement: DataStatement): Outcome {
    const transaction = this.#transaction ?? this.#newTransaction(this.#readOnly)
    const outcome = this.#apply(statement, transaction)
    if (this.#transaction !== null || outcome.isErr() || !isWrite(statement)) return outcome
    return this.#commit(transaction).andThen(() => outcome)
  }

  #apply(statement: DataStatement, transaction: Transaction): Outcome {
    if (!isWrite(statement)) return selected(this.#readRows(statement, transaction))
    const refusesWrites = transaction.readOnly || !this.#options.instance.isPrimary
    return refusesWrites ? err(READ_ONLY_ERROR) : write(statement, transaction)
  }

  #readRows(statement: ReadStatement, transaction: Transaction): Iterable<Row> {
    if (statement.kind !== 'selectEntryWithRole') return readRows(statement, transaction)
    const value = transaction.entry(statement.key)
    const role = this.#options.instance.isPrimary ? 'primary' : 'replica'
    return value === null ? [] : [[value, role]]
  }
}

function write(statement: WriteStatement, transaction: Transaction): Outcome {
  switch (statement.kind) {
    case 'insertEntry':
      return transaction
        .insert(statement.key, statement.value)
        .andThen(() => completed('INSERT 0 1'))
    case 'upsertEntry':
      transaction.put(statement.key, statement.value)
      return completed('INSERT 0 1')
    case 'raiseEntry':
      return raise(statement.key, statement.value, transaction)
    case 'updateEntry':
      if (transaction.entry(statement.key) === null) return completed('UPDATE 0')
      transaction.put(statement.key, statement.value)
      return completed('UPDATE 1')
    case 'deleteEntry':
      if (transaction.entry(statement.key) === null) return completed('DELETE 0')
      transaction.remove(statement.key)
      return completed('DELETE 1')
    case 'insertEvent':
      transaction.addEvent(statement.id, statement.value)
      return completed('INSERT 0 1')
    default:
      return assertNever(statement)
  }
}

function raise(key: string, value: string, transaction: Transaction): Outcome {
  const current = transaction.entry(key)
  if (current !== null && Number(current) >= Number(value)) return completed('INSERT 0 0')
  transaction.put(key, value)
  return completed('INSERT 0 1')
}

function readRows(
  statement: Exclude<ReadStatement, { kind: 'selectEntryWithRole' }>,
  transaction: Transaction,
): Iterable<Row> {
  switch (statement.kind) {
    case 'selectEntry': {
      const value = transaction.entry(statement.key)
      return value === null ? [] : [[value]]
    }
    case 'selectEntries':
      return transaction.entries()
    case 'countEntries':
      return [[String(transaction.entries().length)]]
    case 'selectEvents':
      return transaction.events(statement.id).map(event => [event.id, event.value])
    case 'countEvents':
      return [[String(transaction.events(null).length)]]
    case 'selectLiteral':
      return [[statement.value]]
    case 'sleep':
      return [['']]
    case 'generateRows':
      return generateRows(statement.count, statement.bytes)
    default:
      return assertNever(statement)
  }
}

/** Rows `n:xxx...` of about `bytes` bytes each, generated while they are sent. */
function* generateRows(count: number, bytes: number): Generator<Row> {
  const padding = 'x'.repeat(Math.max(0, bytes))
  for (let row = 1; row <= count; row += 1) yield [`${row}:${padding}`]
}
