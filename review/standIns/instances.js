/**
 * Small stand-ins for the instances of one service, which speak the wire protocol as PROTOCOL.md describes it: slots,
 * a queue, a connection limit, session values, prepared statements, AFTER, and a log that replicas receive late.
 */
import { createServer } from 'node:net'

const SLOTS = 3
const QUEUE = 24
const APPLY_MILLISECONDS = 20
const HANDSHAKE_MILLISECONDS = 12

const later = span => new Promise(resolve => setTimeout(resolve, span))

export class Instances {
  /** Every statement that ran: id, server, time, text, shape, session values. */
  runs = []
  /** When each commit was made, by number. */
  #commits = []
  #term = 1
  #options
  /** How many times slower than usual each instance is. */
  slowness = new Map()

  /** `options`: service, ids (the first one is the primary), connections, workMilliseconds. */
  constructor(options) {
    this.#options = options
  }

  async listen() {
    const ports = new Map()
    for (const id of this.#options.ids) {
      const instance = { id, isPrimary: id === this.#options.ids[0], busy: 0, waiting: [], open: 0 }
      const server = createServer({ noDelay: true }, socket => {
        new Connection(this, instance, socket, this.#options)
      })
      await new Promise(resolve => {
        server.listen(0, '127.0.0.1', resolve)
      })
      ports.set(id, server.address().port)
    }
    return ports
  }

  commit() {
    this.#commits.push(performance.now())
  }

  /** The number of commits that the instance has. */
  length({ isPrimary }) {
    if (isPrimary) return this.#commits.length
    const until = performance.now() - APPLY_MILLISECONDS
    let length = this.#commits.length
    while (length > 0 && this.#commits[length - 1] > until) length -= 1
    return length
  }

  position(instance) {
    return `${this.#term}.${this.length(instance)}`
  }

  holds(instance, position) {
    const [term, number] = position.split('.').map(Number)
    return this.#term > term || (this.#term === term && this.length(instance) >= number)
  }
}

class Connection {
  #all
  #instance
  #socket
  #options
  #values = new Map()
  #prepared = new Map()
  #state = 'I'
  #isReadOnly = false
  #text = ''
  #work = Promise.resolve()
  #isOpen = true

  constructor(all, instance, socket, options) {
    this.#all = all
    this.#instance = instance
    this.#socket = socket
    this.#options = options
    instance.open += 1
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this.#isOpen = false
      instance.open -= 1
    })
    socket.on('data', chunk => {
      const lines = (this.#text + chunk.toString('latin1')).split('\r\n')
      this.#text = lines.pop()
      for (const line of lines) this.#work = this.#work.then(() => this.#serve(line))
    })
  }

  async #serve(line) {
    if (!this.#isOpen) return
    const [word, ...fields] = line.split(' ')
    if (word === 'STARTUP') return this.#start(fields)
    if (word === 'TERMINATE') return this.#socket.end()
    const [id, ...words] = fields
    const after = words[0] === 'AFTER' ? words.splice(0, 2)[1] : null
    const answer = await this.#answer(id, words, after)
    const position = this.#all.position(this.#instance)
    this.#write(`${answer}READY ${this.#state} ${position}\r\n`)
  }

  async #start([service, , id]) {
    const isExpected =
      service === this.#options.service && (id ?? this.#instance.id) === this.#instance.id
    if (!isExpected) return this.#socket.end(`ERROR WRONGNODE ${this.#instance.id}\r\n`)
    if (this.#instance.open > this.#options.connections) {
      return this.#socket.end(`ERROR TOOMANY ${this.#instance.id}\r\n`)
    }
    await later(HANDSHAKE_MILLISECONDS)
    this.#write(`READY I ${this.#all.position(this.#instance)}\r\n`)
  }

  #write(text) {
    if (this.#isOpen) this.#socket.write(text, 'latin1')
  }

  /** The lines before READY. */
  async #answer(id, words, after) {
    const [word, name = '', ...rest] = words
    const done = 'DONE -\r\n'
    if (after !== null && !this.#all.holds(this.#instance, after)) return this.#error('LAGGING')
    switch (word) {
      case 'BEGIN':
        this.#isReadOnly = name === 'READ'
        if (!this.#isReadOnly && !this.#instance.isPrimary) return this.#error('READONLY')
        this.#state = 'T'
        return done
      case 'ROLLBACK':
        this.#state = 'I'
        return done
      case 'SET':
        this.#values.set(name, rest.join(' '))
        return done
      case 'PREPARE':
        this.#prepared.set(name, { effect: rest[0], shape: rest.slice(1).join(' ') })
        return done
      case 'CLOSE':
        return this.#prepared.delete(name) ? done : this.#error('NOSTMT')
      case 'RESET':
        this.#values.clear()
        this.#prepared.clear()
        return done
      case 'STATUS':
        return `ROW ${this.#status()}\r\n${done}`
      case 'EXECUTE': {
        const prepared = this.#prepared.get(name)
        if (prepared === undefined) return this.#error('NOSTMT')
        return this.#run(id, words.join(' '), prepared.effect === 'WRITE', prepared.shape)
      }
      case 'READ':
      case 'WRITE':
        return this.#run(id, words.join(' '), word === 'WRITE', 'plain')
      case 'COMMIT':
        this.#state = 'I'
        return this.#run(id, words.join(' '), false, 'commit')
      default:
        return this.#error('MALFORMED')
    }
  }

  #status() {
    const { isPrimary, busy, open } = this.#instance
    const position = this.#all.position(this.#instance)
    return `${isPrimary ? 'primary' : 'replica'} 1 ${position} 0 0 ${busy} ${open}`
  }

  #error(code) {
    if (this.#state === 'T') this.#state = code === 'BUSY' ? 'T' : 'E'
    return `ERROR ${code} ${this.#instance.id}\r\n`
  }

  /** Runs a statement in a slot; in the middle of its work it is recorded with what holds on the connection. */
  async #run(id, text, isWrite, shape) {
    const instance = this.#instance
    if (isWrite && !instance.isPrimary) return this.#error('READONLY')
    if (instance.busy >= SLOTS) {
      if (instance.waiting.length >= QUEUE) return this.#error('BUSY')
      await new Promise(resolve => instance.waiting.push(resolve))
    } else instance.busy += 1
    const values = Object.fromEntries(this.#values)
    this.#all.runs.push({ id, server: instance.id, at: performance.now(), text, shape, values })
    const slowness = this.#all.slowness.get(instance.id) ?? 1
    await later(this.#options.workMilliseconds * (0.5 + Math.random()) * slowness)
    if (isWrite) this.#all.commit()
    const next = instance.waiting.shift()
    if (next === undefined) instance.busy -= 1
    else next()
    const row = isWrite ? '' : `ROW ${shape}\r\n`
    return `${row}DONE ${instance.id}.${id}\r\n`
  }
}
