/**
 * Standard output that never makes the process wait. Node writes to pipes synchronously, so a reader
 * that stops would stop the service with it; here lines beyond a bound are dropped and counted.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

/** Unread bytes that are kept. A few seconds of lines at the budget of all events. */
const MOST_UNREAD_BYTES = 262_144

const STANDARD_OUTPUT = 1

export class BoundedOutput extends Writable {
  readonly #target: Writable
  #dropped = 0

  constructor(target: Writable) {
    super({ decodeStrings: false })
    this.#target = target
    // Whoever read the lines is gone; the service goes on without them.
    target.on('error', () => undefined)
  }

  /** Lines lost so far because nobody read fast enough. */
  get dropped(): number {
    return this.#dropped
  }

  override _write(chunk: string | Buffer, _encoding: string, done: () => void): void {
    if (this.#target.writableLength > MOST_UNREAD_BYTES || this.#target.destroyed) {
      this.#dropped += 1
    } else {
      this.#target.write(chunk)
    }
    done()
  }
}

/** Standard output as a stream that does not block, whatever it is connected to. */
export function openStandardOutput(): BoundedOutput {
  const status = fstatSync(STANDARD_OUTPUT)
  if (!status.isFIFO() && !status.isSocket()) return new BoundedOutput(process.stdout)
  return new BoundedOutput(new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true }))
}
