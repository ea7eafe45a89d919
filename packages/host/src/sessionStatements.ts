/**
 * What one session's statements do: its values, its transaction, and where each statement runs. Statements that change
 * only the session are answered here; BEGIN too, so that a transaction takes a connection no earlier than its first
 * statement.
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
import { CallerName, type Denial, type Permission } from './callerName.js'
import type { HostContext } from './hostContext.js'
import type { RouteLookup, RoutePlace } from './routeLookup.js'
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
  /** The caller was told that it began; no connection holds it yet. */
  | { readonly kind: 'declared'; readonly readOnly: boolean }
  | {
      readonly kind: 'running'
      readonly route: Route
      readonly customer: CustomerName | null
      readonly transaction: RunningTransaction
    }
  /** It is gone; the caller has yet to end it. `isTold`: it knows. */
  | { readonly kind: 'failed'; readonly isTold: boolean }

const TOLD: TransactionState = { kind: 'failed', isTold: true }
const NOT_TOLD: TransactionState = { kind: 'failed', isTold: false }

export class SessionStatements {
  readonly database: string
  readonly #context: HostContext
  readonly #routes: RouteLookup
  readonly #runner: Runner
  readonly #name: CallerName
  readonly #state: SessionState = { values: new SessionValues(), ownPosition: null }
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
    this.#name = new CallerName(routes, key)
  }

  /** Why the session may not begin; null when it may. */
  get denial(): Denial | null {
    const place = this.#routes.find(this.database)
    if (place === null) return UNKNOWN_DATABASE
    const permission = this.#name.forSession(place.route)
    return permission.kind === 'denied' ? permission.denial : null
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

  /** Ends an open transaction of which its caller does not know yet that it is gone. */
  endTransaction(): void {
    const { kind } = this.#transaction
    if (kind !== 'running' && kind !== 'declared') return
    this.dropTransaction()
    this.#transaction = NOT_TOLD
  }

  async serve(statement: CallerStatement): Promise<StatementResult> {
    const { body } = statement
    if (this.#transaction.kind === 'failed') {
      return this.#serveFailed(statement, this.#transaction.isTold)
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
        this.#state.values.values.set(body.name, body.value)
        return ACKNOWLEDGED
      case 'prepare':
        this.#state.values.prepared.set(body.name, { effect: body.effect, shape: body.shape })
        return ACKNOWLEDGED
      case 'close':
        this.#state.values.prepared.delete(body.name)
        return ACKNOWLEDGED
      case 'read':
      case 'write':
      case 'commit':
      case 'execute':
        return this.#serveRemote({ ...statement, body })
    }
  }

  /**
   * Ending it rolls back; that is no commit, and the caller is told so. So is one that does not know
   * yet that this host ended its transaction: "malformed" says nothing of what is kept.
   */
  #serveFailed(statement: CallerStatement, isTold: boolean): StatementResult {
    const { kind } = statement.body
    if (kind !== 'rollback' && kind !== 'commit') {
      this.#transaction = TOLD
      if (!isTold) return refusal('aborted', 'the transaction was rolled back')
      return refusal('malformed', 'the transaction has failed and must be ended')
    }
    this.#transaction = { kind: 'none' }
    if (kind === 'rollback') return ACKNOWLEDGED
    return refusal('aborted', 'the transaction was rolled back')
  }

  async #serveRemote(statement: RemoteStatement): Promise<StatementResult> {
    const transaction = this.#transaction
    const { body } = statement
    if (body.kind === 'execute' && !this.#state.values.prepared.has(body.name)) {
      return this.#fail(refusal('unknownStatement', 'no such prepared statement'))
    }
    if (body.kind === 'commit' && transaction.kind === 'none') {
      return refusal('malformed', 'no transaction is open')
    }
    const place = this.#findPlace()
    if (place === null) return this.#fail(denied(UNKNOWN_DATABASE))
    const permission = await this.#permissionFor(place.route)
    if (permission.kind === 'denied') {
      return this.#fail(denied(permission.denial))
    }
    const request = this.#requestFor(statement, place, permission.customer)
    const result = await this.#run(request)
    reportStatement(this.#context, this.database, request, result)
    return result
  }

  /** A change of a route applies from the next transaction on, so a running one keeps its own. */
  #findPlace(): RoutePlace | null {
    const transaction = this.#transaction
    if (transaction.kind === 'running') {
      return { route: transaction.route, desk: transaction.transaction.desk }
    }
    return this.#routes.find(this.database)
  }

  /** Limits count an operation once, at its first statement. */
  async #permissionFor(route: Route): Promise<Permission> {
    const transaction = this.#transaction
    if (transaction.kind !== 'running') return this.#name.forOperation(route)
    return this.#name.withinTransaction(route, transaction.customer)
  }

  #requestFor(
    statement: RemoteStatement,
    place: RoutePlace,
    customer: CustomerName | null,
  ): StatementRequest {
    const arrivedAt = this.#context.clock.now()
    return {
      ...place,
      customer,
      session: this.#state,
      statement,
      isWrite: this.#isWrite(statement),
      arrivedAt,
      deadline: addMilliseconds(arrivedAt, place.route.statementTimeoutMilliseconds),
      timing: new StatementTiming(),
    }
  }

  #isWrite({ body }: RemoteStatement): boolean {
    if (body.kind === 'execute') {
      return this.#state.values.prepared.get(body.name)?.effect === 'write'
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
        this.#noteTransaction(request, begun.transaction)
        return begun.result
      }
      case 'running': {
        const gone = await this.#runner.continue(request, transaction.transaction)
        this.#noteTransaction(request, gone.transaction)
        return gone.result
      }
    }
  }

  #noteTransaction(request: StatementRequest, transaction: RunningTransaction | null): void {
    if (transaction !== null) {
      const { route, customer } = request
      this.#transaction = { kind: 'running', route, customer, transaction }
      return
    }
    const isEnded = request.statement.body.kind === 'commit'
    this.#transaction = isEnded ? { kind: 'none' } : TOLD
  }

  /** Inside a transaction a refused statement ends it. */
  #fail(result: StatementResult): StatementResult {
    if (this.#transaction.kind === 'none') return result
    this.dropTransaction()
    this.#transaction = TOLD
    return result
  }

  /** Nothing of the transaction is kept. */
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
