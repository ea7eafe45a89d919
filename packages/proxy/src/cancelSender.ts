/** Sends a CancelRequest to a backend server, over a connection of its own as the protocol wants it. */
import { connect } from 'node:net'
import { cancelRequest, type ListedBackendServer } from '@nutmegcourse/protocol'

export interface BackendKey {
  readonly processId: number
  readonly secret: number
}

/** Resolves with whether the server has taken it, which shows by the server closing the connection. */
export function sendCancel(
  server: ListedBackendServer,
  key: BackendKey,
  timeoutMilliseconds: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host: server.address, port: server.port })
    let isAccepted = false
    socket.setTimeout(timeoutMilliseconds, () => socket.destroy())
    socket.on('connect', () => socket.write(cancelRequest(key.processId, key.secret)))
    socket.on('error', () => undefined)
    socket.on('end', () => {
      isAccepted = true
    })
    socket.resume()
    socket.once('close', () => {
      resolve(isAccepted || socket.bytesWritten === 0)
    })
  })
}
