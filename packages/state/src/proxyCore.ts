/**
 * The proxy's decision core: a state machine that takes one message at a time and returns effects.
 * It does no I/O and sets no timers.
 */
import type { BackendServerId, DatabaseId, Milliseconds, RandomSource } from '@nutmegcourse/shared'
import type { ClassName, RequestId } from '@nutmegcourse/shared'
import { assertNever } from '@nutmegcourse/shared'
import type { RoutingSnapshot, VersionedTargets } from '@nutmegcourse/protocol'
import { EntryHostCount } from './connectionShare.js'
import type { ConnectionOwners } from './connectionManager.js'
import { CoreContext } from './coreContext.js'
import { Database, type ConnectionOwner } from './database.js'
import { EffectSink } from './effectSink.js'
import { explainRouting, type RoutingQuestion } from './explanation.js'
import type { ProxyEffect, ProxyMessage, RoutingExplanation } from './proxyMessages.js'
import { proxyOptions, type ProxyOptions, type ProxyPlace } from './proxyOptions.js'
import { ClassState, newRequest, type ProxyRequest } from './proxyRequest.js'
import { RequestRegistry } from './requestRegistry.js'

type Message<Kind extends ProxyMessage['kind']> = Extract<ProxyMessage, { kind: Kind }>

export class ProxyCore {
  readonly #context: CoreContext
  readonly #databases = new Map<DatabaseId, Database>()
  readonly #classes = new Map<ClassName, ClassState>()
  readonly #owners: ConnectionOwners<ConnectionOwner> = new Map()
  readonly #serverOwners = new Map<BackendServerId, Database>()
  /** Databases whose record announces a planned move. */
  readonly #moving = new Set<Database>()
  #targets: VersionedTargets | null = null
  #sequence = -1
  #stopped = false

  constructor(options: ProxyPlace & Partial<ProxyOptions>, random: RandomSource) {
    const filled = proxyOptions(options)
    const effects = new EffectSink()
    const requests = new RequestRegistry(effects)
    this.#context = new CoreContext(filled, random, effects, requests, new EntryHostCount(filled))
  }

  handle(message: ProxyMessage, now: Milliseconds): readonly ProxyEffect[] {
    this.#context.moment += 1
    this.#process(message, now)
    for (const database of this.#moving) database.reportHeldWrites(now)
    if (this.#context.stopping) this.#finishStop()
    return this.#context.effects.take()
  }

  /** When the next `tick` message is due; null while nothing depends on time. */
  nextWake(now: Milliseconds): Milliseconds | null {
    let next: number = this.#context.entryHosts.nextGrowthAt(now) ?? Number.POSITIVE_INFINITY
    for (const database of this.#databases.values()) {
      next = Math.min(next, database.nextWake(now))
    }
    if (this.#stopped || !Number.isFinite(next)) return null
    return Math.max(next, now) as Milliseconds
  }

  /**
   * Whether a request that was given to a connection may still be sent there. A write may not once
   * writes are held or another server leads. An open transaction can only go on where it is.
   */
  mayStillRun(id: RequestId, now: Milliseconds): boolean {
    const request = this.#context.requests.get(id)
    return request?.phase === 'running' && request.database.mayStillRun(request, now)
  }

  /** Explains the current routing decisions to operators. */
  explain(question: RoutingQuestion, now: Milliseconds): RoutingExplanation {
    return explainRouting(question, this.#databases, this.#classes, now)
  }

  #process(message: ProxyMessage, now: Milliseconds): void {
    switch (message.kind) {
      case 'requestArrived':
        this.#requestArrived(message, now)
        return
      case 'requestRan':
        this.#requestRan(message, now)
        return
      case 'positionAnswered':
        this.#withServer(message.server, (database, server) => {
          database.positionAnswered(server, message.report, message.askedAt, now)
        })
        return
      case 'positionFailed':
        this.#withServer(message.server, (database, server) => {
          database.positionFailed(server, message.askedAt, now)
        })
        return
      case 'requestBroken':
        this.#withRequest(message.request, (request, database) => {
          if (request.phase === 'running') database.broken(request, message.partlyAnswered, now)
        })
        return
      case 'requestNotSent':
        this.#withRequest(message.request, (request, database) => {
          if (request.phase === 'running') database.notSent(request, now)
        })
        return
      case 'requestAbandoned':
        this.#withRequest(message.request, (request, database) => {
          database.abandon(request, now)
        })
        return
      case 'transactionContinued':
        this.#transactionContinued(message, now)
        return
      case 'connectionOpened': {
        const owner = this.#owners.get(message.connection)
        owner?.database.connectionOpened(owner.server, message.connection, now)
        return
      }
      case 'connectionFailed': {
        const owner = this.#owners.get(message.connection)
        this.#owners.delete(message.connection)
        owner?.database.connectionFailed(owner.server, message.connection, message.failure, now)
        return
      }
      case 'connectionClosed': {
        const owner = this.#owners.get(message.connection)
        this.#owners.delete(message.connection)
        owner?.database.connectionClosed(owner.server, message.connection, now)
        return
      }
      case 'snapshot':
        this.#snapshot(message, now)
        return
      case 'sessionEnded':
        this.#databases.get(message.database)?.sessions.forget(message.session)
        return
      case 'stop':
        this.#context.stopping = true
        return
      case 'tick':
        for (const database of this.#databases.values()) database.tick(now)
        return
      default:
        assertNever(message)
    }
  }

  #requestArrived(message: Message<'requestArrived'>, now: Milliseconds): void {
    const { effects, stopping, moment } = this.#context
    const classState = this.#classes.get(message.class)
    const database = this.#databases.get(message.database)
    if (stopping || classState === undefined || database === undefined) {
      const reason = stopping
        ? 'stopping'
        : this.#targets === null
          ? 'no_configuration'
          : classState === undefined
            ? 'unknown_class'
            : 'unknown_database'
      effects.refuse(message.request, { reason }, { class: message.class })
      return
    }
    const { request: id, session, roams } = message
    const request = newRequest({
      id,
      session,
      roams,
      classState,
      database,
      arrivedAt: now,
      arrivedMoment: moment,
    })
    database.arrive(request, now)
  }

  #requestRan(message: Message<'requestRan'>, now: Milliseconds): void {
    this.#withRequest(message.request, (request, database) => {
      if (request.phase !== 'running') return
      if (message.refusedUnrun === true && !request.isContinued) database.refusedUnrun(request, now)
      else database.ran(request, message, now)
    })
  }

  /** The new request replaces the previous one as holder of the transaction's connection. */
  #transactionContinued(message: Message<'transactionContinued'>, now: Milliseconds): void {
    const { requests, effects, moment } = this.#context
    const owner = this.#owners.get(message.connection)
    const connection = owner?.server.pool.get(message.connection)
    const holder = connection?.holder ?? null
    if (owner === undefined || connection === undefined || holder?.phase !== 'inTransaction') {
      effects.refuse(message.request, { reason: 'transaction_lost' }, {})
      return
    }
    const request: ProxyRequest = {
      ...newRequest({ ...holder, id: message.request, arrivedAt: now, arrivedMoment: moment }),
      phase: 'running',
      isContinued: true,
      server: owner.server,
      connection,
      startedAt: now,
    }
    requests.finish(holder)
    requests.add(request)
    connection.holder = request
  }

  #snapshot(message: Message<'snapshot'>, now: Milliseconds): void {
    const { snapshot } = message
    this.#updateTargets(snapshot.targets)
    const isNewer = snapshot.sequence > this.#sequence || message.firstOfConnection === true
    if (!isNewer) {
      for (const { record } of snapshot.groups) {
        const database = this.#databases.get(record.database)
        database?.updateRecord(record, now)
        if (database !== undefined) this.#noteMoving(database)
      }
      return
    }
    this.#sequence = snapshot.sequence
    this.#context.entryHosts.update(snapshot.entryHostCount, now)
    this.#updateGroups(snapshot, now)
  }

  #updateGroups(snapshot: RoutingSnapshot, now: Milliseconds): void {
    for (const group of snapshot.groups) {
      const { database: id } = group.record
      let database = this.#databases.get(id)
      if (database === undefined) {
        database = new Database(group.record, this.#context, this.#owners, now)
        this.#databases.set(id, database)
      }
      for (const server of group.backendServers) this.#serverOwners.set(server.id, database)
      database.update(group, this.#targets?.targets ?? null, now)
      this.#noteMoving(database)
    }
  }

  #noteMoving(database: Database): void {
    if (database.group.record.phase.kind === 'moving') this.#moving.add(database)
    else this.#moving.delete(database)
  }

  /** Ignores any version that is not newer than the current one, so targets never revert. */
  #updateTargets(targets: VersionedTargets | null): void {
    if (targets === null) return
    if (this.#targets !== null && targets.version <= this.#targets.version) return
    this.#targets = targets
    const names = new Set(targets.targets.classes.map(each => each.name))
    for (const name of this.#classes.keys()) if (!names.has(name)) this.#classes.delete(name)
    for (const each of targets.targets.classes) {
      const known = this.#classes.get(each.name)
      if (known === undefined) this.#classes.set(each.name, new ClassState(each))
      else known.targets = each
    }
  }

  #finishStop(): void {
    if (this.#stopped || this.#context.requests.size > 0) return
    this.#stopped = true
    for (const database of this.#databases.values()) database.closeAll()
    this.#context.effects.push({ kind: 'stopped' })
  }

  #withServer(
    id: BackendServerId,
    use: (database: Database, server: Parameters<Database['positionFailed']>[0]) => void,
  ): void {
    const database = this.#serverOwners.get(id)
    const server = database?.group.server(id)
    if (database !== undefined && server !== undefined) use(database, server)
  }

  #withRequest(id: RequestId, use: (request: ProxyRequest, database: Database) => void): void {
    const request = this.#context.requests.get(id)
    if (request !== undefined) use(request, request.database)
  }
}
