/**
 * Forwards bytes to a loopback port and counts them, for traffic that the target does not count.
 */
import { connect, type Server } from 'node:net'
import { listen } from '@nutmegcourse/transport'

const LOOPBACK = '127.0.0.1'

export class CountingPipe {
  #server: Server | null = null
  #bytes = 0

  /** Bytes forwarded in both directions. */
  get bytes(): number {
    return this.#bytes
  }

  async start(targetPort: number): Promise<number> {
    const count = (chunk: Buffer): void => {
      this.#bytes += chunk.length
    }
    const { server, port } = await listen(LOOPBACK, 0, near => {
      const far = connect({ host: LOOPBACK, port: targetPort, noDelay: true })
      near.on('data', count).on('error', () => far.destroy())
      far.on('data', count).on('error', () => near.destroy())
      near.pipe(far)
      far.pipe(near)
    })
    this.#server = server
    return port
  }

  stop(): void {
    this.#server?.close()
  }
}
