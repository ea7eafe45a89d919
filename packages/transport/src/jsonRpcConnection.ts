/** JSON-RPC 2.0 in both directions over one TCP connection, as newline-delimited JSON. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
  JSONRPCServerAndClient,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0'
import { ResultAsync } from 'neverthrow'
import split2 from 'split2'
import { SystemClock } from '@nutmegcourse/shared'
import { startReadTimeout } from './readTimeout.js'
import { SilenceLimit } from './silenceLimit.js'
import type { TransportError } from './transportError.js'

/**
 * A longer line is not sent, and closes the connection where it arrives. Values of the store are at most 1 MB. Counted
 * in characters of JSON text, as the receiving side counts them.
 */
const MAXIMUM_LINE_CHARACTERS = 4 * 1024 * 1024

export type RpcHandler = (params: unknown) => unknown

/** Handlers by method name. A handler that throws or rejects produces an error response. */
export type RpcHandlers = Readonly<Record<string, RpcHandler>>

/** Generated locally when no answer arrives; from JSON-RPC's range for implementation-defined errors. */
const ANSWER_TIMEOUT_CODE = -32099
/** Takes the place of an answer that is too long to be sent. */
const ANSWER_TOO_LONG_CODE = -32098

/** What a handler throws if it cannot use its params; they are answered with the standard's code and `detail`. */
export const invalidParams = (detail: string): Error =>
  new JSONRPCErrorException(detail, JSONRPCErrorCode.InvalidParams)

type RpcMessage = JSONRPCRequest | JSONRPCResponse

class ConnectTimeout extends Error {}

export class JsonRpcConnection {
  readonly #socket: Socket
  readonly #client: JSONRPCClient
  readonly #peer: JSONRPCServerAndClient
  #lastRequestId = 0
  /** The last request that was too long to be sent. */
  #lastUnsentId = 0
  #closed = false

  constructor(socket: Socket, handlers: RpcHandlers) {
    this.#socket = socket
    this.#client = new JSONRPCClient(
      (message: RpcMessage) => {
        this.#write(message)
      },
      () => {
        this.#lastRequestId += 1
        return this.#lastRequestId
      },
    )
    this.#peer = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => undefined }),
      this.#client,
      { errorListener: () => undefined },
    )
    for (const [method, handler] of Object.entries(handlers)) this.#peer.addMethod(method, handler)
    socket.setNoDelay(true)
    socket.on('error', () => undefined)
    socket.once('close', () => {
      this.#closed = true
      this.#peer.rejectAllPendingRequests('connection closed')
    })
    socket
      .pipe(split2({ maxLength: MAXIMUM_LINE_CHARACTERS }))
      .on('data', (line: string) => {
        this.#receive(line)
      })
      .on('error', () => {
        this.close()
      })
  }

  /** Bytes buffered for sending that the operating system has not accepted yet. */
  get unsentBytes(): number {
    return this.#socket.writableLength
  }

  get closed(): boolean {
    return this.#closed || this.#socket.destroyed
  }

  /** Bytes sent and received since the connection was opened. */
  get traffic(): { readonly sent: number; readonly received: number } {
    return { sent: this.#socket.bytesWritten, received: this.#socket.bytesRead }
  }

  onClose(listener: () => void): void {
    if (this.#closed) listener()
    else this.#socket.once('close', listener)
  }

  /** Sends a request and waits at most `timeoutMilliseconds` for its answer. */
  request<Answer>(
    method: string,
    params: unknown,
    timeoutMilliseconds: number,
  ): ResultAsync<Answer, TransportError> {
    const pending = this.#client.request(method, params) as PromiseLike<Answer>
    const stopTimeout = this.#startTimeout(this.#lastRequestId, timeoutMilliseconds)
    const isUnsent = this.#lastUnsentId === this.#lastRequestId
    const answer = Promise.resolve(pending).finally(stopTimeout)
    return ResultAsync.fromPromise(answer, (error): TransportError => {
      const described = this.#describeError(error, method)
      return isUnsent ? { kind: 'tooLong', detail: described.detail } : described
    })
  }

  /** Sends a message without an answer. It is lost if the connection breaks. */
  notify(method: string, params: unknown): void {
    this.#peer.notify(method, params)
  }

  close(): void {
    this.#socket.destroy()
  }

  #startTimeout(id: number, timeoutMilliseconds: number): () => void {
    const fail = (): void => {
      this.#client.receive(createJSONRPCErrorResponse(id, ANSWER_TIMEOUT_CODE, 'no answer in time'))
    }
    return startReadTimeout(fail, timeoutMilliseconds)
  }

  #write(message: RpcMessage): void {
    if (this.closed) throw new Error('connection closed')
    const line = JSON.stringify(message)
    if (line.length <= MAXIMUM_LINE_CHARACTERS) this.#socket.write(`${line}\n`)
    else this.#refuseLong(message, line.length)
  }

  /** The other side would close the connection, and everything else on it would be lost too. */
  #refuseLong(message: RpcMessage, length: number): void {
    const detail = `${String(length)} of at most ${String(MAXIMUM_LINE_CHARACTERS)} characters`
    if (!isJSONRPCRequest(message)) {
      this.#write(createJSONRPCErrorResponse(message.id, ANSWER_TOO_LONG_CODE, detail))
      return
    }
    // A notification has no answer that could tell of it.
    if (typeof message.id === 'number') this.#lastUnsentId = message.id
    else this.close()
    throw new Error(detail)
  }

  #describeError(error: unknown, method: string): TransportError {
    const detail = `${method}: ${error instanceof Error ? error.message : String(error)}`
    if (this.#closed || !(error instanceof JSONRPCErrorException)) {
      return { kind: 'connectionLost', detail }
    }
    if (error.code === ANSWER_TIMEOUT_CODE) return { kind: 'answerTimeout', detail }
    return { kind: 'remote', code: error.code, detail }
  }

  #receive(line: string): void {
    let message: unknown
    try {
      message = JSON.parse(line)
    } catch {
      this.close()
      return
    }
    this.#peer.receiveAndSend(message as never).catch(() => {
      this.close()
    })
  }
}

/** Opens a connection to a JSON-RPC server. */
export function openJsonRpc(
  address: string,
  port: number,
  handlers: RpcHandlers,
  connectTimeoutMilliseconds: number,
): ResultAsync<JsonRpcConnection, TransportError> {
  return openSocket(address, port, connectTimeoutMilliseconds).map(
    socket => new JsonRpcConnection(socket, handlers),
  )
}

/** Opens a plain TCP connection, with a time-out for the attempt. */
export function openSocket(
  address: string,
  port: number,
  connectTimeoutMilliseconds: number,
): ResultAsync<Socket, TransportError> {
  const endpoint = `${address}:${port}`
  const attempt = new Promise<Socket>((resolve, reject) => {
    const socket = connect({ host: address, port, noDelay: true })
    const limit = new SilenceLimit(new SystemClock())
    limit.start(connectTimeoutMilliseconds, () => {
      socket.destroy()
      reject(new ConnectTimeout())
    })
    const fail = (error: Error): void => {
      limit.stop()
      reject(error)
    }
    socket.once('error', fail)
    socket.once('connect', () => {
      limit.stop()
      socket.off('error', fail)
      resolve(socket)
    })
  })
  return ResultAsync.fromPromise(attempt, (error): TransportError =>
    error instanceof ConnectTimeout
      ? { kind: 'connectTimeout', detail: endpoint }
      : { kind: 'connectRefused', detail: endpoint },
  )
}

/** Listens on an address and calls `accept` with each accepted connection. Port 0 picks a free port. */
export async function listen(
  address: string,
  port: number,
  accept: (socket: Socket) => void,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer({ noDelay: true }, accept)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: address, port }, resolve)
  })
  return { server, port: (server.address() as AddressInfo).port }
}
