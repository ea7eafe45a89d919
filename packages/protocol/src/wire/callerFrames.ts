/**
 * Splits a caller's bytes into whole frames, without copying a frame that arrived in one piece.
 * Guards against hostile lengths: a frame is refused by its announced length, before its bytes are buffered.
 */
import { LENGTH_BYTES } from './messageTypes.js'

export type FrameMistake =
  /** The announced length is smaller than the length field, which counts itself. */
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'tooLarge'; readonly announcedBytes: number }

export interface FrameSink {
  /** One whole frame, header included. The bytes are shared with the socket's chunk. */
  frame(bytes: Buffer): void
  /** The stream cannot be read any further. */
  mistake(mistake: FrameMistake): void
  /** Whether the sink accepts another frame; read before each frame. */
  readonly wantsMore: boolean
}

/** Startup packets have a length but no type byte. */
export type FrameShape = 'startup' | 'typed'

/** Longest startup packet, the same as in PostgreSQL. */
export const STARTUP_LIMIT_BYTES = 10_000

export class CallerFrames {
  readonly #limitBytes: number
  #shape: FrameShape = 'startup'
  /** Bytes of an incomplete frame, or of frames that the sink does not accept yet. */
  #chunks: Buffer[] = []
  #bufferedBytes = 0
  /** Bytes needed to read the next frame; avoids joining the chunks of a large frame repeatedly. */
  #neededBytes = 0

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes
  }

  /** The startup exchange is over: from now on frames have a type byte. */
  expectTypedFrames(): void {
    this.#shape = 'typed'
  }

  push(chunk: Buffer, sink: FrameSink): void {
    this.#chunks.push(chunk)
    this.#bufferedBytes += chunk.length
    this.drain(sink)
  }

  /** Passes complete frames to the sink while it accepts more. */
  drain(sink: FrameSink): void {
    if (this.#bufferedBytes < this.#neededBytes || this.#bufferedBytes === 0) return
    const bytes = this.#join()
    let start = 0
    while (sink.wantsMore) {
      const length = this.#frameLength(bytes, start, sink)
      if (length === null) return
      if (start + length > bytes.length) {
        this.#neededBytes = length
        break
      }
      this.#neededBytes = 0
      sink.frame(bytes.subarray(start, start + length))
      start += length
    }
    this.#retain(bytes, start)
  }

  #join(): Buffer {
    const [first] = this.#chunks
    if (this.#chunks.length === 1 && first !== undefined) return first
    const joined = Buffer.concat(this.#chunks, this.#bufferedBytes)
    this.#chunks = [joined]
    return joined
  }

  #retain(bytes: Buffer, start: number): void {
    this.#bufferedBytes = bytes.length - start
    this.#chunks = this.#bufferedBytes === 0 ? [] : [bytes.subarray(start)]
  }

  /** The length of the whole frame, or of its header if that is still incomplete; null for an invalid frame. */
  #frameLength(bytes: Buffer, start: number, sink: FrameSink): number | null {
    const typeBytes = this.#shape === 'typed' ? 1 : 0
    if (start + typeBytes + LENGTH_BYTES > bytes.length) return typeBytes + LENGTH_BYTES
    const length = bytes.readInt32BE(start + typeBytes)
    if (length < LENGTH_BYTES) {
      sink.mistake({ kind: 'malformed', detail: `a frame announces ${length} bytes` })
      return null
    }
    const limit = this.#shape === 'typed' ? this.#limitBytes : STARTUP_LIMIT_BYTES
    if (length > limit) {
      sink.mistake({ kind: 'tooLarge', announcedBytes: length })
      return null
    }
    return typeBytes + length
  }
}
