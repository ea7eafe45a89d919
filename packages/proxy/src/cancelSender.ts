/** Sends a CancelRequest to a backend server over a separate connection, as the protocol requires. */
import { connect } from 'node:net'
import { cancelRequest, type ListedBackendServer } from '@nutmegcourse/protocol'

export interface BackendKey {
  readonly processId: number
  readonly secret: number
}

/**
 * Resolves to whether the cancel can no longer take effect: the server closed the connection after
 * processing it, or it was never sent.
 */
export function sendCancel(
  server: ListedBackendServer,
  key: BackendKey,
  timeoutMilliseconds: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host: server.address, port: server.port })
    let closedByServer = false
    socket.setTimeout(timeoutMilliseconds, () => socket.destroy())
    socket.on('connect', () => socket.write(cancelRequest(key.processId, key.secret)))
    socket.on('error', () => undefined)
    socket.on('end', () => {
      closedByServer = true
    })
    socket.resume()
    socket.once('close', () => {
      resolve(closedByServer || socket.bytesWritten === 0)
    })
  })
}
