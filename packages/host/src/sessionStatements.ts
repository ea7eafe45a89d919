/**
 * Executes the statements of one session: keeps its values and transaction state, and passes on what has to run on a
 * backend server. Statements that change only the session are answered here, BEGIN included, so that a transaction
 * takes a connection no earlier than its first statement.
 *
 * @internal
 */
import {
  addMilliseconds,
  type CustomerName,
  type KeyDigest,
  type LogPosition,
} from '@nutmegcourse/shared'
import type {
  CallerAnswer,
  CallerRefusal,
  CallerStatement,
  Route,
  SessionStatus,
} from '@nutmegcourse/protocol'
import { SessionValues } from '@nutmegcourse/state'
import type { RemoteStatement } from './attempt.js'
import { CallerAuthorization, type Denial, type Permission } from './callerAuthorization.js'
import type { HostContext } from './hostContext.js'
import type { RouteLookup, RoutedService } from './routeLookup.js'
import { reportStatement } from './statementReport.js'
import {
  StatementTiming,
  type RunningTransaction,
  type Runner,
  type SessionState,
  type StatementRequest,
  type StatementResult,
} from './statements.js'

type TransactionState =
  | { readonly kind: 'none' }
  /** BEGIN has been answered; no connection is assigned yet. */
  | { readonly kind: 'declared'; readonly readOnly: boolean }
  | {
      readonly kind: 'running'
      readonly route: Route
      readonly customer: CustomerName | null
      readonly transaction: RunningTransaction
    }
  /** It was rolled back; the caller still has to end it. `isReported`: the caller has received an error for it. */
  | { readonly kind: 'failed'; readonly isReported: boolean }

const FAILURE_REPORTED: TransactionState = { kind: 'failed', isReported: true }
const FAILURE_UNREPORTED: TransactionState = { kind: 'failed', isReported: false }

/** Another host may know more at once; this one asks the store and the others all the while. */
const UNCONFIRMED_CONFIGURATION_RETRY_MILLISECONDS = 250

export class SessionStatements {
  readonly database: string
  readonly #context: HostContext
  readonly #routes: RouteLookup
  readonly #runner: Runner
  readonly #authorization: CallerAuthorization
  #session: SessionState = { values: new SessionValues(), ownPosition: null }
  #transaction: TransactionState = { kind: 'none' }

  constructor(
    context: HostContext,
    routes: RouteLookup,
    runner: Runner,
    database: string,
    key: KeyDigest,
  ) {
    this.#context = context
    this.#routes = routes
    this.#runner = runner
    this.database = database
    this.#authorization = new CallerAuthorization(routes, key)
  }

  /** Why the session may not start; null if it may. */
  get denial(): Denial | null {
    const routed = this.#routes.find(this.database)
    if (routed === null) return this.#unknownDatabase
    const permission = this.#authorization.authorizeSession(routed.route)
    return permission.kind === 'denied' ? permission.denial : null
  }

  /** A host that cannot tell whether the database was added meanwhile sends the caller elsewhere. */
  get #unknownDatabase(): Denial {
    const { isConfirmed, version } = this.#routes.knowledge
    if (isConfirmed) return UNKNOWN_DATABASE
    const after = `retry_after_ms=${String(UNCONFIRMED_CONFIGURATION_RETRY_MILLISECONDS)}`
    const detail = `unknown in version ${String(version)}, which may be out of date here ${after}`
    return { refusal: 'notRun', detail }
  }

  get transaction(): TransactionState['kind'] {
    return this.#transaction.kind
  }

  get status(): SessionStatus {
    switch (this.#transaction.kind) {
      case 'none':
        return 'idle'
      case 'declared':
      case 'running':
        return 'open'
      case 'failed':
        return 'failed'
    }
  }

  /** Rolls back an open transaction; the caller is informed with its next statement. */
  endTransaction(): void {
    const { kind } = this.#transaction
    if (kind !== 'running' && kind !== 'declared') return
    this.dropTransaction()
    this.#transaction = FAILURE_UNREPORTED
  }

  async serve(statement: CallerStatement): Promise<StatementResult> {
    const { body } = statement
    if (this.#transaction.kind === 'failed') {
      return this.#serveFailed(statement, this.#transaction.isReported)
    }
    switch (body.kind) {
      case 'malformed':
        return refusal('malformed', body.detail)
      case 'begin':
        if (this.#transaction.kind !== 'none') return refusal('malformed', 'a transaction is open')
        this.#transaction = { kind: 'declared', readOnly: body.readOnly }
        return ACKNOWLEDGED
      case 'rollback':
        this.dropTransaction()
        return ACKNOWLEDGED
      case 'set':
        this.#changeValues(this.#values.withValue(body.name, body.value))
        return ACKNOWLEDGED
      case 'prepare':
        this.#changeValues(
          this.#values.withPrepared(body.name, { effect: body.effect, shape: body.shape }),
        )
        return ACKNOWLEDGED
      case 'close':
        this.#changeValues(this.#values.withoutPrepared(body.name))
        return ACKNOWLEDGED
      case 'read':
      case 'write':
      case 'commit':
      case 'execute':
        return this.#serveRemote({ ...statement, body })
    }
  }

  get #values(): SessionValues {
    return this.#session.values
  }

  #changeValues(values: SessionValues): void {
    this.#session = { ...this.#session, values }
  }

  /**
   * Serves a statement of a failed transaction. A commit is refused with "aborted", since the transaction was rolled
   * back. So is the first statement after this host ended the transaction on its own: "malformed" would not tell the
   * caller that nothing was kept.
   */
  #serveFailed(statement: CallerStatement, isReported: boolean): StatementResult {
    const { kind } = statement.body
    if (kind !== 'rollback' && kind !== 'commit') {
      this.#transaction = FAILURE_REPORTED
      if (!isReported) return refusal('aborted', 'the transaction was rolled back')
      return refusal('malformed', 'the transaction has failed and must be ended')
    }
    this.#transaction = { kind: 'none' }
    if (kind === 'rollback') return ACKNOWLEDGED
    return refusal('aborted', 'the transaction was rolled back')
  }

  async #serveRemote(statement: RemoteStatement): Promise<StatementResult> {
    const transaction = this.#transaction
    const { body } = statement
    if (body.kind === 'execute' && !this.#values.prepared.has(body.name)) {
      return this.#fail(refusal('unknownStatement', 'no such prepared statement'))
    }
    if (body.kind === 'commit' && transaction.kind === 'none') {
      return refusal('malformed', 'no transaction is open')
    }
    const routed = this.#findRoutedService()
    if (routed === null) return this.#fail(denied(this.#unknownDatabase))
    const permission = await this.#permissionFor(routed.route, statement)
    if (permission.kind === 'denied') {
      return this.#fail(denied(permission.denial))
    }
    const request = this.#requestFor(statement, routed, permission.customer)
    const result = await this.#run(request)
    const { ownPosition } = result
    if (ownPosition !== undefined) this.#session = { ...this.#session, ownPosition }
    reportStatement(this.#context, this.database, request, result)
    return result
  }

  /** Changes of a route apply from the next transaction on; a running transaction keeps its route. */
  #findRoutedService(): RoutedService | null {
    const transaction = this.#transaction
    if (transaction.kind === 'running') {
      return { route: transaction.route, service: transaction.transaction.service }
    }
    return this.#routes.find(this.database)
  }

  /** A transaction counts against the customer's limit once, at its first statement. */
  async #permissionFor(route: Route, { id }: RemoteStatement): Promise<Permission> {
    const transaction = this.#transaction
    if (transaction.kind !== 'running') return this.#authorization.authorizeOperation(route, id)
    return this.#authorization.authorizeInTransaction(route, transaction.customer)
  }

  #requestFor(
    statement: RemoteStatement,
    routed: RoutedService,
    customer: CustomerName | null,
  ): StatementRequest {
    const arrivedAt = this.#context.clock.now()
    return {
      ...routed,
      customer,
      session: this.#session,
      statement,
      isWrite: this.#isWrite(statement),
      arrivedAt,
      deadline: addMilliseconds(arrivedAt, routed.route.statementTimeoutMilliseconds),
      timing: new StatementTiming(),
    }
  }

  #isWrite({ body }: RemoteStatement): boolean {
    if (body.kind === 'execute') {
      return this.#values.prepared.get(body.name)?.effect === 'write'
    }
    return body.kind === 'write'
  }

  async #run(request: StatementRequest): Promise<StatementResult> {
    const transaction = this.#transaction
    switch (transaction.kind) {
      case 'none':
      case 'failed':
        return this.#runner.single(request)
      case 'declared': {
        if (transaction.readOnly && request.isWrite) {
          return this.#fail(refusal('readOnly', 'the transaction only reads'))
        }
        const begun = await this.#runner.begin(request, transaction.readOnly)
        this.#updateTransaction(request, begun.transaction)
        return begun.result
      }
      case 'running': {
        const continued = await this.#runner.continue(request, transaction.transaction)
        this.#updateTransaction(request, continued.transaction)
        return continued.result
      }
    }
  }

  #updateTransaction(request: StatementRequest, transaction: RunningTransaction | null): void {
    if (transaction !== null) {
      const { route, customer } = request
      this.#transaction = { kind: 'running', route, customer, transaction }
      return
    }
    const isEnded = request.statement.body.kind === 'commit'
    this.#transaction = isEnded ? { kind: 'none' } : FAILURE_REPORTED
  }

  /** Returns the refusal; an open transaction is rolled back and has to be ended by the caller. */
  #fail(result: StatementResult): StatementResult {
    if (this.#transaction.kind === 'none') return result
    this.dropTransaction()
    this.#transaction = FAILURE_REPORTED
    return result
  }

  /** Rolls back the transaction, if one is running, and leaves the session outside any transaction. */
  dropTransaction(): void {
    if (this.#transaction.kind === 'running') {
      this.#runner.endTransaction(this.#transaction.transaction, 'open')
    }
    this.#transaction = { kind: 'none' }
  }
}

const UNKNOWN_DATABASE: Denial = { refusal: 'unknownDatabase', detail: 'no such database' }

const ACKNOWLEDGED: StatementResult = { answer: { kind: 'acknowledged' }, position: null }

function refusal(which: CallerRefusal, detail: string): StatementResult {
  const answer: CallerAnswer = { kind: 'refused', refusal: which, detail }
  const position: LogPosition | null = null
  return { answer, position }
}

const denied = ({ refusal: which, detail }: Denial): StatementResult => refusal(which, detail)
