/**
 * Tracks each request until its single final answer: reports it to the core, runs it on the connection
 * that the core chooses, and sends the caller the held or streamed answer, or a refusal.
 */
import {
  TransactionStatus,
  errorResponse,
  refusalResponse,
  type TransactionStatusByte,
} from '@nutmegcourse/protocol'
import { REASONS, type ClassName, type Refusal, type RequestId } from '@nutmegcourse/shared'
import type { ConnectionId, ProxyEffect } from '@nutmegcourse/state'
import { isTransactionOpen, type BackendConnection } from './backendConnection.js'
import {
  READ_ONLY_VIOLATION,
  removeFailedPrepares,
  isRefusedBeforeRunning,
  newActiveRequest,
  statusAfterRefusal,
  answerTargetOf,
  type ActiveRequest,
} from './activeRequest.js'
import type { BackendRun } from './backendRun.js'
import type { RunOutcome } from './runOutcome.js'
import type { CallerConnection } from './callerConnection.js'
import type { CallerRequest } from './callerRequest.js'
import { CallerTransactions, type PinnedTransaction, type RunMode } from './callerTransactions.js'
import { chooseClass } from './classChoice.js'
import type { CoreDriver } from './coreDriver.js'
import { DeferredActions } from './deferredActions.js'
import { AnswerBuffer } from './answerBuffer.js'
import { replyInLostTransaction } from './lostTransaction.js'
import { recordSessionChanges, recordStartupSettings } from './sessionState.js'
import type { Topology } from './topology.js'

type RunEffect = Extract<ProxyEffect, { kind: 'run' }>

export interface RequestManagerEvents {
  /** A request was refused without the core, which counts only its own refusals. */
  refused(className: ClassName | null, refusal: Refusal): void
  /** A caller gets an error because it is unknown whether its request ran. */
  outcomeUnknown(active: ActiveRequest, refusal: Refusal): void
  trace(request: RequestId, step: string, detail: string): void
  /** Closes a connection that the core has not closed, and notifies the core. */
  closeConnection(connection: BackendConnection): void
}

export class RequestManager {
  readonly #driver: CoreDriver
  readonly #topology: Topology
  readonly #connections: ReadonlyMap<ConnectionId, BackendConnection>
  readonly #events: RequestManagerEvents
  readonly #active = new Map<RequestId, ActiveRequest>()
  readonly #transactions = new CallerTransactions()
  readonly #deferredSends = new DeferredActions()

  constructor(
    driver: CoreDriver,
    topology: Topology,
    connections: ReadonlyMap<ConnectionId, BackendConnection>,
    events: RequestManagerEvents,
  ) {
    this.#driver = driver
    this.#topology = topology
    this.#connections = connections
    this.#events = events
  }

  get inFlight(): number {
    return this.#active.size
  }

  get openTransactions(): number {
    return this.#transactions.openCount
  }

  /** Starts a request that has reached the head of its caller's queue. */
  start(caller: CallerConnection, request: CallerRequest): void {
    const transaction = this.#transactions.get(caller)
    if (request.complete && request.shape.kind === 'extended' && request.steps.length === 1) {
      // A Sync without messages before it.
      caller.finish(request, caller.status, 'sendReady')
      return
    }
    const active = newActiveRequest(caller, request, transaction.kind === 'pinned')
    switch (transaction.kind) {
      case 'none':
        this.#submit(active)
        return
      case 'pinned':
        this.#continueTransaction(active, transaction)
        return
      case 'lost':
        this.#answerInLostTransaction(active, transaction.isReported)
    }
  }

  /** Sends further messages of a request that has already started. */
  sendMore(caller: CallerConnection, request: CallerRequest): void {
    const active = this.#active.get(request.id)
    if (active === undefined) return
    if (active.pendingReadyStatus !== null) {
      if (!request.complete) return
      this.#active.delete(request.id)
      caller.finish(request, active.pendingReadyStatus, 'sendReady')
      return
    }
    if (active.connection?.run?.request !== request) return
    if (request.complete && active.mode?.holdAnswer === true) active.answer?.hold()
    active.connection.sendMore()
  }

  /** Abandons a disconnected caller's requests. Connections that they ran on are closed, not reused. */
  handleCallerClosed(caller: CallerConnection, unfinished: readonly CallerRequest[]): void {
    const transaction = this.#transactions.get(caller)
    this.#transactions.end(caller)
    for (const request of unfinished) {
      const active = this.#active.get(request.id)
      if (active === undefined) continue
      this.#active.delete(request.id)
      const { connection } = active
      if (active.pendingReadyStatus === null) {
        this.#driver.send({ kind: 'requestAbandoned', request: request.id })
      }
      if (connection?.run?.request === request) this.#closeAfterEffects(connection)
    }
    if (transaction.kind === 'pinned') this.#closeAfterEffects(transaction.connection)
  }

  /** Cancels the caller's current request on behalf of a CancelRequest. */
  cancel(caller: CallerConnection): void {
    const { head } = caller
    const active = head === null ? undefined : this.#active.get(head.id)
    if (head === null || active?.pendingReadyStatus !== null) return
    if (active.connection?.run?.isAnswered === false) {
      active.connection.cancel()
      return
    }
    if (active.connection !== null) return
    this.#driver.send({ kind: 'requestAbandoned', request: head.id })
    this.#events.trace(head.id, 'canceled', 'while it waited')
    this.#finishWithError(active, CANCELED, statusAfterRefusal(active))
  }

  pauseAnswer(caller: CallerConnection): void {
    this.#runningConnection(caller)?.pause()
  }

  resumeAnswer(caller: CallerConnection): void {
    this.#runningConnection(caller)?.resume()
  }

  /** A read is sent at once: it changes nothing, so that it can be sent again on another connection. */
  run(effect: RunEffect): void {
    if (effect.readOnly) {
      this.#send(effect)
      return
    }
    this.#deferredSends.add(() => {
      this.#send(effect)
    })
  }

  /** Drops what waits to be sent. */
  close(): void {
    this.#deferredSends.clear()
  }

  acknowledge(id: RequestId): void {
    const active = this.#active.get(id)
    if (active?.outcome == null || active.answer === null) return
    this.#active.delete(id)
    active.answer.release()
    active.caller.finish(active.request, active.outcome.status, 'readySent')
  }

  refuse(id: RequestId, refusal: Refusal): void {
    const active = this.#active.get(id)
    if (active?.pendingReadyStatus !== null) return
    const final = active.request.replacementRefusal ?? refusal
    this.#events.trace(id, 'refused', final.reason)
    if (REASONS[final.reason].kind === 'outcomeUnknown') this.#events.outcomeUnknown(active, final)
    if (active.request.purpose === 'startupSettings') {
      this.#active.delete(id)
      active.caller.fail(final)
      return
    }
    this.#finishWithError(active, refusalResponse(final), statusAfterRefusal(active))
  }

  /** Handles the end of the answer to the caller's own messages. */
  answered(run: BackendRun): void {
    // Nothing is committed inside a transaction yet, so the answer needs no confirmation.
    const active = this.#active.get(run.request.id)
    if (active !== undefined && run.status !== TransactionStatus.idle) run.answer.release()
  }

  ended(connection: BackendConnection, run: BackendRun, outcome: RunOutcome): void {
    const { request } = run
    const active = this.#active.get(request.id)
    if (active === undefined) return
    const { caller } = active
    const transactionOpen = isTransactionOpen(outcome)
    this.#recordTransaction(active, connection, transactionOpen)
    const refusal = this.#recordSession(active, connection, outcome)
    removeFailedPrepares(caller, outcome)
    if (active.mode?.readOnly === true && outcome.sqlState === READ_ONLY_VIOLATION) {
      this.#events.refused(request.class, { reason: 'write_in_read_class' })
    }
    const isHeld = run.answer.holding
    if (isHeld) active.outcome = outcome
    else this.#active.delete(request.id)
    this.#driver.send({
      kind: 'requestRan',
      request: request.id,
      position: outcome.position,
      transactionOpen,
      failed: outcome.failed,
      refusedUnrun: isRefusedBeforeRunning(active, run, outcome),
    })
    if (isHeld) {
      if (refusal !== null) caller.fail(refusal)
      return
    }
    caller.finish(request, outcome.status, 'readySent')
    if (refusal !== null) caller.fail(refusal)
  }

  /**
   * Handles a connection that the core closed. The request running on it is reported as broken unless
   * the core refuses it as well.
   */
  handleConnectionClosedByCore(run: BackendRun): void {
    this.#driver.afterEffects(() => {
      const active = this.#active.get(run.request.id)
      if (active?.answer !== run.answer || active.pendingReadyStatus !== null) return
      const partlyAnswered = run.answer.partlySent
      active.breakDetail = 'closed by this proxy'
      this.#driver.send({ kind: 'requestBroken', request: run.request.id, partlyAnswered })
    })
  }

  /** Handles a broken connection: the core must receive `connectionClosed` before `requestBroken`. */
  handleConnectionLost(
    connection: BackendConnection,
    run: BackendRun | null,
    detail: string,
  ): void {
    this.#transactions.handleConnectionClosed(connection)
    this.#driver.send({ kind: 'connectionClosed', connection: connection.id })
    if (run === null) return
    const active = this.#active.get(run.request.id)
    if (active === undefined) return
    active.breakDetail = detail
    this.#events.trace(run.request.id, 'broken', detail)
    if (run.isAnswered && !run.answer.holding) {
      // The caller has its complete answer; only the position query after it and the transaction are lost.
      this.#active.delete(run.request.id)
      this.#transactions.markLost(active.caller, false)
      this.#driver.send({ kind: 'requestAbandoned', request: run.request.id })
      active.caller.finish(run.request, run.status, 'readySent')
      return
    }
    const partlyAnswered = run.answer.partlySent
    this.#driver.send({ kind: 'requestBroken', request: run.request.id, partlyAnswered })
  }

  /** Handles a connection that the proxy closed. A transaction open on it is lost. */
  handleConnectionClosed(connection: BackendConnection): void {
    this.#transactions.handleConnectionClosed(connection)
  }

  #submit(active: ActiveRequest): void {
    const { request, caller } = active
    const { identity } = caller
    if (identity === null) return
    this.#active.set(request.id, active)
    const choice = chooseClass(request, identity, this.#topology)
    if (choice.kind === 'refusal') {
      this.#refuseLocally(active, choice.refusal)
      return
    }
    request.class = choice.name
    const { idempotencyKey } = request
    this.#events.trace(request.id, 'arrived', idempotencyKey ?? choice.name)
    this.#driver.send({
      kind: 'requestArrived',
      request: request.id,
      session: caller.session,
      roams: identity.session !== null,
      database: identity.database,
      class: choice.name,
    })
  }

  #send(effect: RunEffect): void {
    const active = this.#active.get(effect.request)
    const connection = this.#connections.get(effect.connection)
    if (connection === undefined) {
      this.#reportNotSent(effect.request, 'its connection was closed')
      return
    }
    if (active?.pendingReadyStatus !== null) {
      // The caller has its answer or is gone; closing the connection stops the core from counting it as busy.
      this.#closeAfterEffects(connection)
      return
    }
    this.#startRun(active, connection, effect)
  }

  #continueTransaction(active: ActiveRequest, transaction: PinnedTransaction): void {
    const { request } = active
    const { connection } = transaction
    request.class = transaction.class
    this.#active.set(request.id, active)
    this.#driver.send({
      kind: 'transactionContinued',
      request: request.id,
      connection: connection.id,
    })
    this.#deferredSends.add(() => {
      const isRefused = this.#active.get(request.id) !== active
      if (isRefused || active.pendingReadyStatus !== null) return
      this.#startRun(active, connection, transaction.mode)
    })
  }

  #answerInLostTransaction(active: ActiveRequest, isReported: boolean): void {
    const { request, caller } = active
    if (!request.complete) {
      this.#active.set(request.id, active)
      this.#transactions.markLost(caller, true)
      caller.write(refusalResponse({ reason: 'transaction_lost' }))
      active.pendingReadyStatus = TransactionStatus.failed
      return
    }
    const reply = replyInLostTransaction(request, isReported)
    if (reply.status === TransactionStatus.idle) this.#transactions.end(caller)
    else this.#transactions.markLost(caller, true)
    caller.write(reply.bytes)
    caller.finish(request, reply.status, 'readySent')
  }

  #startRun(active: ActiveRequest, connection: BackendConnection, mode: RunMode): void {
    const { request, caller } = active
    const { readOnly, holdAnswer } = mode
    if (!this.#driver.mayStillRun(request.id)) {
      this.#reportNotSent(request.id, 'the core has withdrawn it')
      return
    }
    // Answers that the caller awaits before its Sync do not confirm a commit, so they are not held.
    const answer = new AnswerBuffer(answerTargetOf(active), holdAnswer && request.complete)
    const isSent = connection.start({
      request,
      answer,
      settings: caller.settings,
      readOnly,
      queriesPosition: holdAnswer || !readOnly,
      insideTransaction: active.insideTransaction,
    })
    if (!isSent) {
      this.#reportNotSent(request.id, 'its connection was closed')
      return
    }
    active.mode = { readOnly, holdAnswer }
    active.connection = connection
    active.sentAt = this.#driver.now
    active.breakDetail = null
    active.outcome = null
    active.answer = answer
    if (caller.isCongested) connection.pause()
  }

  #reportNotSent(request: RequestId, detail: string): void {
    this.#events.trace(request, 'not sent', detail)
    this.#driver.send({ kind: 'requestNotSent', request })
  }

  #recordTransaction(
    active: ActiveRequest,
    connection: BackendConnection,
    transactionOpen: boolean,
  ): void {
    const { caller, mode, request } = active
    if (transactionOpen && mode !== null) {
      this.#transactions.pin(caller, { connection, mode, class: request.class })
    } else if (active.insideTransaction) this.#transactions.end(caller)
  }

  /** Records the session state that the request changed; returns a refusal if the caller can not go on. */
  #recordSession(
    active: ActiveRequest,
    connection: BackendConnection,
    outcome: RunOutcome,
  ): Refusal | null {
    const { caller, request } = active
    if (request.purpose === 'startupSettings') {
      return recordStartupSettings(caller, connection, outcome)
    }
    const isRecorded = recordSessionChanges(
      caller,
      connection,
      request,
      outcome,
      active.insideTransaction,
    )
    return isRecorded
      ? null
      : { reason: 'unsupported', detail: 'more SET statements than are kept' }
  }

  #refuseLocally(active: ActiveRequest, refusal: Refusal): void {
    this.#events.refused(active.request.class, refusal)
    this.refuse(active.request.id, refusal)
  }

  /** Ends a request with an error in place of a backend server's answer. */
  #finishWithError(active: ActiveRequest, error: Buffer, status: TransactionStatusByte): void {
    const { request, caller, connection, answer } = active
    answer?.drop()
    if (active.insideTransaction && active.outcome === null) this.#loseTransaction(active, status)
    const isRunning = connection?.run?.request === request
    if (connection !== null && isRunning) this.#closeAfterEffects(connection)
    if (answer?.partlySent === true && connection?.insideFrame === true) {
      // The caller has received part of a row and would read any further bytes as the rest of it.
      this.#active.delete(request.id)
      caller.destroy()
      return
    }
    caller.write(error)
    if (!request.complete) {
      active.pendingReadyStatus = status
      return
    }
    this.#active.delete(request.id)
    caller.finish(request, status, 'sendReady')
  }

  #loseTransaction(active: ActiveRequest, status: TransactionStatusByte): void {
    const { caller } = active
    const transaction = this.#transactions.get(caller)
    if (transaction.kind === 'pinned') this.#closeAfterEffects(transaction.connection)
    if (status === TransactionStatus.idle) this.#transactions.end(caller)
    else this.#transactions.markLost(caller, true)
  }

  /** Closes a connection after the core's effects, unless the core has closed it by then. */
  #closeAfterEffects(connection: BackendConnection): void {
    this.#driver.afterEffects(() => {
      if (connection.state === 'open') this.#events.closeConnection(connection)
    })
  }

  #runningConnection(caller: CallerConnection): BackendConnection | null {
    const { head } = caller
    const active = head === null ? undefined : this.#active.get(head.id)
    const connection = active?.connection ?? null
    return connection !== null && connection.run?.request === head ? connection : null
  }
}

const CANCELED = errorResponse({
  severity: 'ERROR',
  sqlState: '57014',
  message: 'canceling statement due to user request',
})
