/**
 * Splits a backend server's bytes into frames. Small frames that the proxy inspects are delivered whole;
 * all others are forwarded as pieces of the chunks that they arrived in, so that a large row is never buffered.
 */
import { FRAME_HEADER_BYTES, ServerMessage } from './messageTypes.js'

export interface ServerFrameSink {
  /** A whole frame that the proxy inspects. */
  inspectFrame(type: number, bytes: Buffer, start: number, end: number): void
  /** A piece of a forwarded frame; `opens` and `closes` say whether it includes the frame's start and end. */
  forwardPiece(
    type: number,
    bytes: Buffer,
    start: number,
    end: number,
    opens: boolean,
    closes: boolean,
  ): void
}

/** An inspected frame longer than this was not sent by a PostgreSQL server. */
const INSPECTED_LIMIT_BYTES = 1024 * 1024

const FORWARDED_TYPES = new Set<number>([
  ServerMessage.dataRow,
  ServerMessage.rowDescription,
  ServerMessage.parameterDescription,
  ServerMessage.noticeResponse,
  ServerMessage.noData,
  ServerMessage.bindComplete,
  ServerMessage.emptyQueryResponse,
  ServerMessage.portalSuspended,
])

const isForwarded = new Uint8Array(256)
for (const type of FORWARDED_TYPES) isForwarded[type] = 1

export class ServerFrames {
  /** An incomplete header or inspected frame. */
  #buffered: Buffer | null = null
  /** Outstanding bytes of a frame that is already partly forwarded. */
  #forwardedBytesLeft = 0
  #forwardedType = 0

  /** Whether a frame is partly forwarded; nothing else may be sent between its pieces. */
  get insideFrame(): boolean {
    return this.#forwardedBytesLeft > 0
  }

  /** Whether everything received consists of whole frames. */
  get isBetweenFrames(): boolean {
    return this.#buffered === null && this.#forwardedBytesLeft === 0
  }

  /**
   * Keeps no reference to the chunk, so that its buffer may be reused after the call. Returns false when
   * the bytes are not valid frames; the connection cannot be used any further then.
   */
  push(chunk: Buffer, sink: ServerFrameSink): boolean {
    const bytes = this.#buffered === null ? chunk : Buffer.concat([this.#buffered, chunk])
    this.#buffered = null
    let start = this.#forwardRest(bytes, sink)
    while (start < bytes.length) {
      if (bytes.length - start < FRAME_HEADER_BYTES) break
      const type = bytes[start] ?? 0
      const length = 1 + bytes.readInt32BE(start + 1)
      if (length < FRAME_HEADER_BYTES) return false
      const end = start + length
      if (isForwarded[type] === 1) {
        const within = Math.min(end, bytes.length)
        this.#forwardedBytesLeft = end - within
        this.#forwardedType = type
        sink.forwardPiece(type, bytes, start, within, true, end === within)
        start = within
        continue
      }
      if (length > INSPECTED_LIMIT_BYTES) return false
      if (end > bytes.length) break
      sink.inspectFrame(type, bytes, start, end)
      start = end
    }
    if (start < bytes.length) this.#buffered = Buffer.from(bytes.subarray(start))
    return true
  }

  #forwardRest(bytes: Buffer, sink: ServerFrameSink): number {
    if (this.#forwardedBytesLeft === 0) return 0
    const end = Math.min(this.#forwardedBytesLeft, bytes.length)
    this.#forwardedBytesLeft -= end
    sink.forwardPiece(this.#forwardedType, bytes, 0, end, false, this.#forwardedBytesLeft === 0)
    return end
  }
}
