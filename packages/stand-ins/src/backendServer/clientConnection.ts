/** An accepted connection: startup and admission, then a session, a cancel request or replication. */
import { randomInt } from 'node:crypto'
import type { Socket } from 'node:net'
import { ClientSession } from './clientSession.js'
import type { StatementRunner } from './statementRunner.js'
import * as frames from './wire/backendFrames.js'
import { FrontendReader, MalformedMessage, type FrontendMessage } from './wire/frontendMessages.js'

export interface ConnectionOptions {
  readonly connectMilliseconds: number
  /** False when the connection limit is reached. */
  admit(): boolean
  cancel(processId: number, secretKey: number): void
  replicate(parameters: ReadonlyMap<string, string>): void
  newRunner(): StatementRunner
}

type Stage =
  | { readonly kind: 'starting' }
  | { readonly kind: 'session'; readonly session: ClientSession }
  /** Replication owns the socket. */
  | { readonly kind: 'replication' }

const CONTROL_APPLICATION = 'nutmegcourse-control'
const SECRET_KEY_LIMIT = 2 ** 31
const SERVER_PARAMETERS = {
  server_version: '16.0',
  server_encoding: 'UTF8',
  client_encoding: 'UTF8',
  DateStyle: 'ISO, MDY',
  TimeZone: 'UTC',
  integer_datetimes: 'on',
  standard_conforming_strings: 'on',
}

export class ClientConnection {
  readonly processId: number
  readonly #secretKey = randomInt(1, SECRET_KEY_LIMIT)
  readonly #socket: Socket
  readonly #options: ConnectionOptions
  readonly #reader = new FrontendReader()
  #stage: Stage = { kind: 'starting' }
  #runner: StatementRunner | null = null
  #isControl = false

  constructor(socket: Socket, processId: number, options: ConnectionOptions) {
    this.processId = processId
    this.#socket = socket
    this.#options = options
    socket.on('error', () => undefined)
    socket.on('data', chunk => {
      this.#receive(chunk)
    })
  }

  /** Opened by the fleet for control statements; stays open when callers' connections are closed. */
  get isControl(): boolean {
    return this.#isControl
  }

  cancel(secretKey: number): void {
    if (secretKey === this.#secretKey) this.#runner?.cancel()
  }

  /** Closes the connection on the server's initiative and cancels the running statement. */
  destroy(): void {
    this.#runner?.terminate()
    this.#socket.destroy()
  }

  #receive(chunk: Buffer): void {
    if (this.#stage.kind === 'replication') return
    let messages: readonly FrontendMessage[]
    try {
      messages = this.#reader.push(chunk)
    } catch (error) {
      if (!(error instanceof MalformedMessage)) throw error
      this.#closeWithError({ code: '08P01', message: error.message })
      return
    }
    if (this.#stage.kind === 'session') this.#stage.session.receive(messages)
    else for (const message of messages) this.#handleStartupMessage(message)
  }

  #handleStartupMessage(message: FrontendMessage): void {
    if (message.kind === 'startup') this.#startUp(message.parameters)
    else if (message.kind === 'encryptionRequest') this.#socket.write('N')
    else if (message.kind === 'cancelRequest') {
      this.#options.cancel(message.processId, message.secretKey)
      this.#socket.end()
    } else this.#socket.destroy()
  }

  #startUp(parameters: ReadonlyMap<string, string>): void {
    if (parameters.has('replication')) {
      this.#stage = { kind: 'replication' }
      this.#options.replicate(parameters)
      return
    }
    if (!this.#options.admit()) {
      this.#closeWithError({ code: '53300', message: 'sorry, too many clients already' })
      return
    }
    this.#isControl = parameters.get('application_name') === CONTROL_APPLICATION
    this.#socket.pause()
    setTimeout(() => {
      this.#startSession()
    }, this.#options.connectMilliseconds)
  }

  #startSession(): void {
    if (this.#socket.destroyed) return
    this.#runner = this.#options.newRunner()
    this.#stage = { kind: 'session', session: new ClientSession(this.#socket, this.#runner) }
    const parameters = Object.entries(SERVER_PARAMETERS).map(([name, value]) =>
      frames.parameterStatus(name, value),
    )
    this.#socket.write(
      Buffer.concat([
        frames.authenticationOk(),
        ...parameters,
        frames.backendKeyData(this.processId, this.#secretKey),
        frames.readyForQuery('I'),
      ]),
    )
    this.#socket.resume()
  }

  #closeWithError(error: frames.SqlError): void {
    this.#socket.end(frames.errorResponse(error, 'FATAL'))
  }
}
