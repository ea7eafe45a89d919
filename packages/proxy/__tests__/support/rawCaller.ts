/** A caller that sends exactly the bytes that a test specifies. */
import { connect, type Socket } from 'node:net'
import { ServerFrames, ServerMessage, startupMessage } from '@nutmegcourse/protocol'
import { DATABASE, READ_CLASS } from './proxyFixture.js'

export interface RawFrame {
  readonly type: string
  readonly bytes: Buffer
}

const WAIT_TIMEOUT_MILLISECONDS = 5000

export const frameOf = (type: string, body: Buffer | string): Buffer => {
  const bytes = Buffer.from(body)
  const head = Buffer.alloc(5)
  head.write(type, 0, 'latin1')
  head.writeInt32BE(4 + bytes.length, 1)
  return Buffer.concat([head, bytes])
}

export const query = (text: string): Buffer => frameOf('Q', `${text}\0`)
export const parse = (name: string, text: string): Buffer => frameOf('P', `${name}\0${text}\0\0\0`)
/** A Bind message without parameters for the unnamed portal. */
export const bind = (name: string): Buffer => frameOf('B', `\0${name}\0\0\0\0\0\0\0`)
export const execute = (): Buffer => frameOf('E', '\0\0\0\0\0')
export const sync = (): Buffer => frameOf('S', '')
export const flush = (): Buffer => frameOf('H', '')

export class RawCaller {
  readonly frames: RawFrame[] = []
  readonly #socket: Socket
  readonly #reader = new ServerFrames()
  #pieces: Buffer[] = []
  #closed = false
  #wake: () => void = () => undefined

  constructor(port: number) {
    this.#socket = connect(port, '127.0.0.1')
    this.#socket.on('error', () => undefined)
    this.#socket.on('data', chunk => {
      this.#reader.push(chunk, {
        inspectFrame: (type, bytes, start, end) => {
          this.#record(type, bytes.subarray(start, end))
        },
        forwardPiece: (type, bytes, start, end, _opens, closes) => {
          this.#pieces.push(bytes.subarray(start, end))
          if (!closes) return
          this.#record(type, Buffer.concat(this.#pieces))
          this.#pieces = []
        },
      })
      this.#wake()
    })
    this.#socket.on('close', () => {
      this.#closed = true
      this.#wake()
    })
  }

  /** Connects a caller and completes its startup. */
  static async connect(port: number, className = READ_CLASS): Promise<RawCaller> {
    const caller = new RawCaller(port)
    const options = `-c nutmegcourse.class=${className}`
    caller.send(startupMessage({ user: 'foreman', database: DATABASE, options }))
    await caller.until(() => caller.types.includes('Z'))
    caller.frames.length = 0
    return caller
  }

  get types(): string {
    return this.frames.map(frame => frame.type).join('')
  }

  get connected(): boolean {
    return !this.#socket.connecting
  }

  get closed(): boolean {
    return this.#closed
  }

  /** All received frames as text. */
  get text(): string {
    return this.frames.map(frame => frame.bytes.toString('latin1')).join('')
  }

  send(...frames: readonly Buffer[]): void {
    this.#socket.write(Buffer.concat(frames))
  }

  pause(): void {
    this.#socket.pause()
  }

  resume(): void {
    this.#socket.resume()
  }

  disconnect(): void {
    this.#socket.destroy()
  }

  /** Waits until the condition holds; on a time-out throws an error that lists the received frames. */
  async until(condition: () => boolean): Promise<void> {
    const expiresAt = performance.now() + WAIT_TIMEOUT_MILLISECONDS
    while (!condition()) {
      if (performance.now() > expiresAt)
        throw new Error(`condition not met in time; received: ${this.types}`)
      await new Promise<void>(resolve => {
        this.#wake = resolve
        setTimeout(resolve, 20)
      })
    }
  }

  /** Waits until `count` ReadyForQuery messages were received. */
  async untilReady(count = 1): Promise<void> {
    await this.until(() => this.types.split('Z').length > count)
  }

  #record(type: number, bytes: Buffer): void {
    if (type === ServerMessage.parameterStatus) return
    this.frames.push({ type: String.fromCharCode(type), bytes: Buffer.from(bytes) })
  }
}

/** Waits until a condition holds that is not visible to a caller. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const expiresAt = performance.now() + WAIT_TIMEOUT_MILLISECONDS
  while (!condition()) {
    if (performance.now() > expiresAt) throw new Error('condition not met in time')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}
