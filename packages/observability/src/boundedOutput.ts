/**
 * Output that does not wait for its reader. Node writes to standard output synchronously if it is a pipe,
 * so a reader that stops reading would block the service. Here lines beyond a limit are dropped and counted.
 */
import { fstatSync } from 'node:fs'
import { Socket } from 'node:net'
import { Writable } from 'node:stream'

/** Maximum size of the unread output: a few seconds of lines if all events reach their line limits. */
const MAX_UNREAD_BYTES = 262_144

const STANDARD_OUTPUT = 1

export class BoundedOutput extends Writable {
  readonly #target: Writable
  #dropped = 0

  constructor(target: Writable) {
    super({ decodeStrings: false })
    this.#target = target
    // The reader closed its end; the service continues without it.
    target.on('error', () => undefined)
  }

  /** Number of lines dropped so far because the output was not read fast enough. */
  get dropped(): number {
    return this.#dropped
  }

  override _write(chunk: string | Buffer, _encoding: string, done: () => void): void {
    if (this.#target.writableLength > MAX_UNREAD_BYTES || this.#target.destroyed) {
      this.#dropped += 1
    } else {
      this.#target.write(chunk)
    }
    done()
  }
}

/** Pipes and sockets never block; to files and terminals Node writes synchronously. */
export function openStandardOutput(): BoundedOutput {
  const status = fstatSync(STANDARD_OUTPUT)
  if (!status.isFIFO() && !status.isSocket()) return new BoundedOutput(process.stdout)
  return new BoundedOutput(new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true }))
}
