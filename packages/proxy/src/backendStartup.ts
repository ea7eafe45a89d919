/** Reads the server's messages during the startup of a backend connection. */
import {
  ServerMessage,
  readServerError,
  readText,
  type ServerFrameSink,
} from '@nutmegcourse/protocol'
import type { ConnectFailure } from '@nutmegcourse/state'
import type { BackendKey } from './cancelSender.js'

export type StartupStep =
  | { readonly kind: 'pending' }
  | { readonly kind: 'ready' }
  | { readonly kind: 'failed'; readonly failure: ConnectFailure; readonly detail: string }

const PENDING: StartupStep = { kind: 'pending' }
const READY: StartupStep = { kind: 'ready' }
const TOO_MANY_CONNECTIONS = '53300'
const AUTHENTICATION_OK = 0
const BODY_START = 5
const SECRET_START = BODY_START + 4

/** Minimum frame lengths by message type; a shorter frame lacks a field that is read. */
const MINIMUM_FRAME_BYTES: ReadonlyMap<number, number> = new Map([
  [ServerMessage.authentication, BODY_START + 4],
  [ServerMessage.backendKeyData, SECRET_START + 4],
])

type Frame = Parameters<ServerFrameSink['inspectFrame']>

export class BackendStartup {
  /** ParameterStatus values. */
  readonly parameters = new Map<string, string>()
  #key: BackendKey | null = null

  /** Identifies the connection in a CancelRequest; null if the server sent no key. */
  get key(): BackendKey | null {
    return this.#key
  }

  read(...[type, bytes, start, end]: Frame): StartupStep {
    if (end - start < (MINIMUM_FRAME_BYTES.get(type) ?? 0))
      return failed('startup message is truncated')
    switch (type) {
      case ServerMessage.authentication: {
        const method = bytes.readInt32BE(start + BODY_START)
        return method === AUTHENTICATION_OK
          ? PENDING
          : failed('backend server requires authentication')
      }
      case ServerMessage.backendKeyData:
        this.#key = {
          processId: bytes.readInt32BE(start + BODY_START),
          secret: bytes.readInt32BE(start + SECRET_START),
        }
        return PENDING
      case ServerMessage.parameterStatus:
        this.#readParameter(bytes, start, end)
        return PENDING
      case ServerMessage.errorResponse: {
        const { sqlState, message } = readServerError(bytes, start, end)
        return failed(message, sqlState === TOO_MANY_CONNECTIONS ? 'tooManyConnections' : 'refused')
      }
      case ServerMessage.readyForQuery:
        return READY
      default:
        return PENDING
    }
  }

  #readParameter(bytes: Buffer, start: number, end: number): void {
    const name = readText(bytes, start + BODY_START, end)
    const value = name === null ? null : readText(bytes, name.end, end)
    if (name !== null && value !== null) this.parameters.set(name.text, value.text)
  }
}

const failed = (detail: string, failure: ConnectFailure = 'refused'): StartupStep => ({
  kind: 'failed',
  failure,
  detail,
})
