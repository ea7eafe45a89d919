/** A client's session over the wire protocol: one message at a time. */
import { connect } from 'node:net'

const IS_COMPLETE = /(^|\r\n)READY [ITE] \S+\r\n$/

export class Session {
  #socket
  #text = ''
  #resolve = null
  /** What arrived while no message waited for its answer. */
  unasked = ''
  isClosed = false

  constructor(port) {
    this.#socket = connect({ host: '127.0.0.1', port, noDelay: true })
    this.#socket.on('data', chunk => {
      this.#read(chunk.toString('latin1'))
    })
    this.#socket.on('error', () => undefined)
    this.#socket.on('close', () => {
      this.isClosed = true
      this.#settle(this.#text === '' ? null : this.#text)
    })
  }

  /** Sends one message, and resolves with the text up to its READY, or null if the connection ends before. */
  send(message) {
    return new Promise(resolve => {
      if (this.isClosed) {
        resolve(null)
        return
      }
      this.#text = ''
      this.#resolve = resolve
      this.#socket.write(`${message}\r\n`, 'latin1')
    })
  }

  close() {
    this.#socket.destroy()
  }

  #read(text) {
    if (this.#resolve === null) {
      this.unasked += text
      return
    }
    this.#text += text
    if (IS_COMPLETE.test(this.#text)) this.#settle(this.#text)
  }

  #settle(text) {
    this.#resolve?.(text)
    this.#resolve = null
  }
}
