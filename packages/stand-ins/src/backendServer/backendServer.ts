/** A complete backend server: its listener, connections, limits and replication. */
import type { Server, Socket } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import type { PositionReport } from '@nutmegcourse/protocol'
import { assertNever, term } from '@nutmegcourse/shared'
import { listen } from '@nutmegcourse/transport'
import type { BackendServerSettings } from './backendServerSettings.js'
import { ClientConnection } from './clientConnection.js'
import { DatabaseInstance } from './databaseInstance.js'
import { ReplicatedLog } from './replicatedLog.js'
import { ReplicationFollower, type ReplicationLag } from './replicationFollower.js'
import { ReplicationSource } from './replicationSource.js'
import { Slots } from './slots.js'
import { completed, reportAnswer, StatementRunner, type Answer } from './statementRunner.js'
import type { ControlStatement, FollowCall } from './statements.js'
import type { SqlError } from './wire/backendFrames.js'

export class BackendServer {
  readonly #settings: BackendServerSettings
  readonly #log: ReplicatedLog
  readonly #instance: DatabaseInstance
  readonly #slots: Slots
  readonly #lag: ReplicationLag
  readonly #connections = new Map<number, ClientConnection>()
  readonly #sources = new Set<ReplicationSource>()
  readonly #sockets = new Set<Socket>()
  #follower: ReplicationFollower | null = null
  #server: Server | null = null
  #lastProcessId = 0
  #connectionPeak = 0
  #connectionsRefused = 0

  constructor(settings: BackendServerSettings) {
    this.#settings = settings
    this.#log = new ReplicatedLog(settings.dataFile ?? null)
    this.#slots = new Slots(settings.slots)
    this.#lag = { milliseconds: settings.replicationLagMilliseconds, paused: false }
    this.#instance = new DatabaseInstance(this.#log, {
      closeCallers: () => {
        this.#closeCallers()
      },
      demoted: () => {
        for (const source of this.#sources) source.close()
      },
      appended: () => {
        for (const source of this.#sources) source.pump()
      },
    })
    if (!this.#log.restored) this.#bootstrap()
  }

  async start(): Promise<number> {
    const { address, port } = this.#settings
    const listening = await listen(address, port, socket => {
      this.#accept(socket)
    })
    this.#server = listening.server
    return listening.port
  }

  stop(): void {
    this.#server?.close()
    this.#follower?.close()
    for (const socket of this.#sockets) socket.destroy()
    this.#log.close()
  }

  /**
   * Applies the initial role and term of a server that has no data file yet. A server that restores
   * its log starts as a replica without a source, until `platform_follow` or `platform_promote`.
   */
  #bootstrap(): void {
    const initial = term(this.#settings.initialTerm)
    this.#instance.fence(initial)
    if (this.#settings.initialRole === 'primary') this.#instance.promote(initial)
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
    this.#lastProcessId += 1
    const processId = this.#lastProcessId
    const connection: ClientConnection = new ClientConnection(socket, processId, {
      connectMilliseconds: this.#settings.connectMilliseconds,
      admit: () => this.#admit(connection),
      cancel: (target, secretKey) => {
        this.#connections.get(target)?.cancel(secretKey)
      },
      replicate: parameters => {
        this.#serveFollower(socket, parameters)
      },
      newRunner: () =>
        new StatementRunner({
          instance: this.#instance,
          slots: this.#slots,
          serviceMilliseconds: this.#settings.serviceMilliseconds,
          control: statement => this.#control(statement),
        }),
    })
    socket.once('close', () => this.#connections.delete(processId))
  }

  #admit(connection: ClientConnection): boolean {
    if (this.#connections.size >= this.#settings.connectionLimit) {
      this.#connectionsRefused += 1
      return false
    }
    this.#connections.set(connection.processId, connection)
    this.#connectionPeak = Math.max(this.#connectionPeak, this.#connections.size)
    return true
  }

  #closeCallers(): void {
    for (const connection of this.#connections.values()) {
      if (!connection.isControl) connection.destroy()
    }
  }

  #serveFollower(socket: Socket, parameters: ReadonlyMap<string, string>): void {
    const source = new ReplicationSource(socket, this.#instance, parameters)
    this.#sources.add(source)
    socket.once('close', () => this.#sources.delete(source))
  }

  #control(statement: ControlStatement): Result<Answer, SqlError> {
    switch (statement.kind) {
      case 'position':
        return reportAnswer(this.#instance.report(), statement.number)
      case 'fence':
        return this.#instance.fence(statement.term).andThen(report => {
          this.#dropOutdatedFollower()
          return reportAnswer(report, statement.number)
        })
      case 'promote':
        return this.#instance.promote(statement.term).andThen(report => {
          this.#replaceFollower(null)
          return reportAnswer(report, statement.number)
        })
      case 'follow':
        return this.#follow(statement).andThen(report => reportAnswer(report, statement.number))
      case 'setLag':
        this.#lag.milliseconds = statement.milliseconds
        this.#follower?.applyDue()
        return completed('SELECT 1', [[String(statement.milliseconds)]])
      case 'pauseReplication':
        this.#lag.paused = statement.paused
        this.#follower?.applyDue()
        return completed('SELECT 1', [[String(statement.paused)]])
      case 'countStatements':
        return completed('SELECT 1', [[String(this.#slots.startedCount)]])
      case 'countConnections':
        return completed('SELECT 1', [
          [String(this.#connectionPeak), String(this.#connectionsRefused)],
        ])
      default:
        return assertNever(statement)
    }
  }

  #follow({
    term: primaryTerm,
    address,
    port: advertisedPort,
  }: FollowCall): Result<PositionReport, SqlError> {
    const port = this.#routedPort(advertisedPort)
    const allowed = this.#instance.allowFollowing(primaryTerm)
    if (allowed.isErr()) return err(allowed.error)
    const current = this.#follower
    const isUnchanged =
      current?.term === primaryTerm &&
      current.endpoint.address === address &&
      current.endpoint.port === port
    if (!isUnchanged) {
      const endpoint = { address, port }
      this.#replaceFollower(
        new ReplicationFollower(this.#instance, primaryTerm, endpoint, this.#lag),
      )
    }
    return ok(this.#instance.report())
  }

  /** The fleet names a server by the port used in its own zone; this zone may need another port. */
  #routedPort(advertisedPort: number): number {
    const route = this.#settings.routes.find(candidate => candidate.fromPort === advertisedPort)
    return route?.toPort ?? advertisedPort
  }

  #dropOutdatedFollower(): void {
    const follower = this.#follower
    if (follower !== null && follower.term < this.#log.fencedTerm) this.#replaceFollower(null)
  }

  #replaceFollower(follower: ReplicationFollower | null): void {
    this.#follower?.close()
    this.#follower = follower
  }
}
