/**
 * Runs statements on this host if it holds connections to the service, and relays them to an owner otherwise. The
 * guarantees to callers hold across the hop: if a statement was sent to the owner and its answer is lost, the outcome
 * is that of a lost backend connection.
 *
 * @internal
 */
import { recoveryFor, type StatementFailure, type StatementPlace } from '@nutmegcourse/state'
import type { CustomerName } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import { RELAY_METHODS, readPosition, writeRequest, type AnswerMessage } from './relayMessages.js'
import type { RelayOutcome, RelayPeer } from './relayPeer.js'
import type { SentRoutes } from './relayRoutes.js'
import { isBetterAtPrimary } from './readRegion.js'
import type { ServiceState } from './serviceState.js'
import {
  needsPrimary,
  refused,
  type TransactionStep,
  type RelayedTransaction,
  type Runner,
  type RunningTransaction,
  type StatementRequest,
  type StatementResult,
} from './statements.js'
import type { StatementRunner } from './statementRunner.js'

/** Chooses the owners to which the statements of a service are relayed. */
export interface OwnerDirectory {
  /**
   * The other hosts in the order in which they are tried; null if this host serves the request itself.
   * `atPrimary`: only the primary can run the request.
   */
  peersFor(
    service: ServiceState,
    customer: CustomerName | null,
    atPrimary: boolean,
  ): RelayPeer[] | null
}

/** Identifiers of transactions that this host chooses. Hosts that choose their own stay below. */
const FIRST_TRANSACTION = 2 ** 40

interface RelayedRequest {
  readonly request: StatementRequest
  /** It is a read or begins a read-only transaction. */
  readonly readOnly: boolean
  readonly place: StatementPlace
  readonly method: string
  /** `isFinal`: the owner that receives it is the last one asked. */
  readonly message: (routes: SentRoutes, isFinal: boolean) => unknown
  /** The identifier of the transaction that it begins; null if it begins none. */
  readonly transaction: number | null
}

interface RelayedCall {
  readonly outcome: RelayOutcome
  readonly peer: RelayPeer | null
}

type Answered = Extract<AnswerMessage, { kind: 'answered' }>
type AnsweredOutcome = Extract<RelayOutcome, { kind: 'answered' }>

export class RelayingRunner implements Runner {
  readonly #context: HostContext
  readonly #local: StatementRunner
  readonly #owners: OwnerDirectory
  #nextTransaction = FIRST_TRANSACTION

  constructor(context: HostContext, local: StatementRunner, owners: OwnerDirectory) {
    this.#context = context
    this.#local = local
    this.#owners = owners
  }

  async single(request: StatementRequest): Promise<StatementResult> {
    const place: StatementPlace = request.isWrite ? 'singleWrite' : 'singleRead'
    const called = await this.#relay({
      request,
      readOnly: !request.isWrite,
      place,
      method: RELAY_METHODS.single,
      message: (routes, isFinal) =>
        writeRequest(request, routes, this.#context.clock.now(), isFinal),
      transaction: null,
    })
    if (called === null) return this.#local.single(request)
    const { outcome } = called
    if (outcome.kind === 'answered') return resultOf(outcome.message)
    if (this.#mayRunHere(request, place, outcome)) {
      return this.#standInForOwners(request).single(request)
    }
    return this.#refusalFor(request, place, outcome)
  }

  async begin(request: StatementRequest, readOnly: boolean): Promise<TransactionStep> {
    const place: StatementPlace =
      request.statement.body.kind === 'commit' ? 'commit' : 'firstOfTransaction'
    const transaction = this.#nextTransaction
    this.#nextTransaction += 1
    const called = await this.#relay({
      request,
      readOnly,
      place,
      method: RELAY_METHODS.begin,
      message: (routes, isFinal) => ({
        request: writeRequest(request, routes, this.#context.clock.now(), isFinal),
        readOnly,
        transaction,
      }),
      transaction,
    })
    if (called === null) return this.#local.begin(request, readOnly)
    const { outcome, peer } = called
    if (outcome.kind === 'answered' && peer !== null) {
      return this.#stepOf(request, peer, outcome)
    }
    if (this.#mayRunHere(request, place, outcome)) {
      return this.#standInForOwners(request).begin(request, readOnly)
    }
    return { result: this.#refusalFor(request, place, outcome), transaction: null }
  }

  async continue(
    request: StatementRequest,
    transaction: RunningTransaction,
  ): Promise<TransactionStep> {
    if (transaction.kind === 'local') return this.#local.continue(request, transaction)
    const { peer, connection, id } = transaction
    const params = (routes: SentRoutes): unknown => ({
      request: writeRequest(request, routes, this.#context.clock.now()),
      transaction: id,
    })
    const outcome = await peer.continue(connection, params, request.deadline)
    if (outcome.kind === 'answered') return this.#stepOf(request, peer, outcome)
    peer.end(connection, id)
    const isCommit = request.statement.body.kind === 'commit'
    const place: StatementPlace = isCommit ? 'commit' : 'withinTransaction'
    return { result: this.#refusalFor(request, place, outcome), transaction: null }
  }

  endTransaction(transaction: RunningTransaction, status: SessionStatus | null): void {
    if (transaction.kind === 'local') this.#local.endTransaction(transaction, status)
    else transaction.peer.end(transaction.connection, transaction.id)
  }

  /** Whether this host may run the statement itself: its deadline has not passed, and a retry is safe. */
  #mayRunHere(request: StatementRequest, place: StatementPlace, outcome: RelayOutcome): boolean {
    return (
      !this.#isExpired(request) && recoveryFor(place, mishapOf(outcome), false).kind === 'retry'
    )
  }

  /** Since no owner accepted the request, makes this host active for the service and returns its local runner. */
  #standInForOwners({ service }: StatementRequest): StatementRunner {
    if (!service.isOwned) service.standIn(this.#context.clock.now())
    return this.#local
  }

  /** Passes the request on to an owner; null if this host serves it itself. */
  async #relay(relayed: RelayedRequest): Promise<RelayedCall | null> {
    const { request, readOnly, place } = relayed
    const { settings, clock } = this.#context
    const work = place === 'singleRead' ? 'single' : 'transaction'
    const atPrimary =
      needsPrimary(request, readOnly) ||
      isBetterAtPrimary(request, { readOnly, work }, settings, clock.now())
    const peers = this.#peersFor(request, atPrimary)
    if (peers === null) return null
    const called = await this.#callOwners(relayed, peers)
    if (called.outcome.kind !== 'redirected') return this.#askFinally(relayed, called, atPrimary)
    const atPrimaryRegion = await this.#callOwners(relayed, this.#peersFor(request, true) ?? [])
    return this.#askFinally(relayed, atPrimaryRegion, atPrimary)
  }

  /**
   * Asks the dispatchers again, without a choice, when each of them declined: if none reaches the primary, the request
   * waits for it at a dispatcher instead of at many hosts.
   */
  async #askFinally(
    relayed: RelayedRequest,
    called: RelayedCall,
    atPrimary: boolean,
  ): Promise<RelayedCall> {
    const { request, place } = relayed
    const { service } = request
    const { outcome } = called
    if (service.dispatchedPart === null || service.isOwned) return called
    if (outcome.kind === 'answered' || !this.#mayRunHere(request, place, outcome)) return called
    return this.#callOwners(relayed, this.#peersFor(request, atPrimary) ?? [], true)
  }

  #peersFor({ service, customer }: StatementRequest, atPrimary: boolean): RelayPeer[] | null {
    return this.#owners.peersFor(service, customer, atPrimary)
  }

  /** Calls one owner after the other, as long as a retry is safe. */
  async #callOwners(
    { request, place, method, message, transaction }: RelayedRequest,
    peers: readonly RelayPeer[],
    isFinal = false,
  ): Promise<RelayedCall> {
    let last: RelayedCall = { outcome: { kind: 'notSent' }, peer: null }
    for (const peer of peers) {
      if (this.#isExpired(request)) break
      if (!peer.isUp) continue
      const outcome = await peer.call(method, routes => message(routes, isFinal), request.deadline)
      last = { outcome, peer }
      if (outcome.kind === 'answered') {
        if (!isFinal) request.service.lastRelayedAnswerAt = this.#context.clock.now()
        return last
      }
      if (outcome.kind === 'redirected') return last
      // Without its answer, nothing else would end the transaction there before it has been idle for too long.
      const mayHaveBegun = outcome.kind === 'overdue' || outcome.kind === 'lost'
      if (transaction !== null && mayHaveBegun) peer.end(outcome.connection, transaction)
      this.#context.log.write('relay_failed', {
        request: request.statement.id,
        service: request.service.name,
        host: peer.name,
        outcome: outcome.kind,
      })
      if (recoveryFor(place, mishapOf(outcome), false).kind !== 'retry') return last
    }
    return last
  }

  #stepOf(
    request: StatementRequest,
    peer: RelayPeer,
    { message, connection }: AnsweredOutcome,
  ): TransactionStep {
    const result = resultOf(message)
    if (message.transaction === null) return { result, transaction: null }
    const transaction: RelayedTransaction = {
      kind: 'relayed',
      service: request.service,
      peer,
      connection,
      id: message.transaction,
    }
    return { result, transaction }
  }

  #refusalFor(
    request: StatementRequest,
    place: StatementPlace,
    outcome: RelayOutcome,
  ): StatementResult {
    const mishap = mishapOf(outcome)
    const action = recoveryFor(place, mishap, false)
    return refused(request, action.kind === 'answer' ? action.refusal : action.otherwise, mishap)
  }

  #isExpired(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }
}

function resultOf({ answer, position, own, reason }: Answered): StatementResult {
  const ownPosition = readPosition(own)
  return {
    answer,
    position: readPosition(position),
    ...(ownPosition === null ? {} : { ownPosition }),
    ...(reason === undefined ? {} : { reason }),
  }
}

function mishapOf(outcome: RelayOutcome): StatementFailure {
  switch (outcome.kind) {
    case 'answered':
    case 'overdue':
      return { kind: 'overdue' }
    case 'notSent':
    case 'redirected':
      return { kind: 'notSent' }
    case 'lost':
      return { kind: 'lost', failure: 'connectionLost' }
  }
}
