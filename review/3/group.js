/**
 * A small stand-in of one database group: instances that speak the line protocol of PROTOCOL.md, with slots, handshakes
 * that take a slot, a log with a term, replicas that receive and apply later, and prepared statements by connection.
 */
import { createServer } from 'node:net'

/** Statements that may wait for a slot of an instance; one more is refused with BUSY. */
const QUEUE_LIMIT = 24
/** A commit is received by a replica after this time, and applied there somewhat later. */
const RECEIVE_MS = 1
const APPLY_MS = 20

const sleep = span => new Promise(resolve => setTimeout(resolve, span))

export class Group {
  term = 1
  position = 0
  instances = []

  constructor(service, random) {
    this.service = service
    this.random = random
  }

  add(options) {
    const instance = new Instance(this, options)
    this.instances.push(instance)
    return instance
  }

  /** Commits one write at the primary; resolves once a replica has received it. */
  async commit() {
    this.position += 1
    const { position } = this
    for (const replica of this.instances.filter(each => !each.isPrimary)) {
      const delay = RECEIVE_MS + APPLY_MS * (0.5 + this.random())
      setTimeout(() => (replica.applied = Math.max(replica.applied, position)), delay)
    }
    await sleep(RECEIVE_MS)
    return position
  }
}

class Instance {
  /** How many times as long as usual its reads, writes and commits take. */
  slowness = 1
  applied = 0
  busy = 0
  connections = 0
  #waiting = []
  #server = null

  constructor(group, { id, zone, isPrimary, slots, limit, workMs, handshakeMs, onRun }) {
    Object.assign(this, { group, id, zone, isPrimary, slots, limit, workMs, handshakeMs, onRun })
    this.runs = 0
  }

  get position() {
    return `${this.group.term}.${this.isPrimary ? this.group.position : this.applied}`
  }

  async listen(host) {
    this.#server = createServer({ noDelay: true }, socket => new Session(this, socket))
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    return this.#server.address().port
  }

  close() {
    this.#server.close()
  }

  /** Takes a slot for some work; false if too many wait already. */
  async work(meanMs, slowness = this.slowness) {
    if (this.busy >= this.slots) {
      if (this.#waiting.length >= QUEUE_LIMIT) return false
      await new Promise(resolve => this.#waiting.push(resolve))
    } else this.busy += 1
    await sleep(meanMs * slowness * (0.5 + this.group.random()))
    const next = this.#waiting.shift()
    if (next === undefined) this.busy -= 1
    else next()
    return true
  }
}

class Session {
  #instance
  #socket
  #text = ''
  #work = Promise.resolve()
  #state = 'I'
  #started = false
  #isReadOnly = false
  #hasWritten = false
  #prepared = new Map()

  constructor(instance, socket) {
    this.#instance = instance
    this.#socket = socket
    instance.connections += 1
    socket.on('error', () => socket.destroy())
    socket.on('close', () => (instance.connections -= 1))
    socket.on('data', chunk => {
      const lines = (this.#text + chunk.toString('latin1')).split('\r\n')
      this.#text = lines.pop()
      for (const line of lines) this.#work = this.#work.then(() => this.#answer(line))
    })
  }

  #send(text) {
    if (!this.#socket.destroyed) this.#socket.write(text, 'latin1')
  }

  #reply(text) {
    this.#send(`${text}\r\nREADY ${this.#state} ${this.#instance.position}\r\n`)
  }

  #done(rows = []) {
    const instance = this.#instance
    instance.runs += 1
    const signature = `${instance.id}.${instance.runs.toString(16)}`
    this.#reply([...rows.map(row => `ROW ${row}`), `DONE ${signature}`].join('\r\n'))
  }

  #error(code) {
    if (this.#state === 'T' && code !== 'BUSY') this.#state = 'E'
    this.#reply(`ERROR ${code} ${this.#instance.id}`)
  }

  async #answer(line) {
    if (this.#socket.destroyed) return
    const [word, ...rest] = line.split(' ')
    if (word === 'STARTUP') return this.#start(rest)
    if (word === 'TERMINATE') return this.#socket.end()
    if (word !== 'QUERY' || !this.#started) return this.#socket.end('ERROR MALFORMED line\r\n')
    const [id, ...words] = rest
    let after = null
    if (words[0] === 'AFTER') [after] = words.splice(0, 2).slice(1)
    if (after !== null && !this.#holds(after)) return this.#error('LAGGING')
    return this.#run(id, words, after !== null)
  }

  #holds(after) {
    const [term, number] = after.split('.').map(Number)
    const [ownTerm, ownNumber] = this.#instance.position.split('.').map(Number)
    return ownTerm > term || (ownTerm === term && ownNumber >= number)
  }

  async #start([service, , id]) {
    const instance = this.#instance
    if (service !== instance.group.service || (id !== undefined && id !== instance.id))
      return this.#socket.end(`ERROR WRONGNODE ${instance.id}\r\n`)
    if (instance.connections > instance.limit)
      return this.#socket.end(`ERROR TOOMANY ${instance.id}\r\n`)
    await instance.work(instance.handshakeMs, 1)
    this.#started = true
    this.#send(`READY I ${instance.position}\r\n`)
  }

  async #run(id, [word, ...words], isAfter) {
    const instance = this.#instance
    switch (word) {
      case 'BEGIN':
        if (this.#state !== 'I') return this.#error('MALFORMED')
        if (words[0] !== 'READ' && !instance.isPrimary) return this.#error('READONLY')
        this.#state = 'T'
        this.#isReadOnly = words[0] === 'READ'
        this.#hasWritten = false
        return this.#reply('DONE -')
      case 'ROLLBACK':
        this.#state = 'I'
        return this.#reply('DONE -')
      case 'SET':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.#reply('DONE -')
      case 'RESET':
        this.#prepared.clear()
        return this.#reply('DONE -')
      case 'CLOSE':
        this.#prepared.delete(words[0])
        return this.#reply('DONE -')
      case 'PREPARE':
        this.#prepared.set(words[0], { effect: words[1], shape: words.slice(2).join(' ') })
        return this.#reply('DONE -')
      case 'STATUS': {
        const role = instance.isPrimary ? 'primary' : 'replica'
        const { busy, connections, position } = instance
        const row = [role, instance.group.term, position, 0, 0, busy, connections].join(' ')
        return this.#reply(`ROW ${row}\r\nDONE -`)
      }
      case 'COMMIT':
        return this.#commit(id)
      case 'READ':
        return this.#read(id, null)
      case 'WRITE':
        return this.#write(id, null)
      case 'EXECUTE': {
        const definition = this.#prepared.get(words[0])
        if (this.#state === 'E') return this.#error('MALFORMED')
        if (definition === undefined) return this.#error('NOSTMT')
        if (definition.effect === 'READ') return this.#read(id, definition)
        // AFTER may precede a read or a BEGIN only, and a write needs its data.
        if (isAfter || words.length < 3) {
          instance.onRun({ id, instance: instance.id, ...definition, isRefused: true })
          return this.#error('MALFORMED')
        }
        return this.#write(id, definition)
      }
      default:
        return this.#error('MALFORMED')
    }
  }

  async #read(id, definition) {
    const instance = this.#instance
    if (this.#state === 'E') return this.#error('MALFORMED')
    if (!(await instance.work(instance.workMs))) return this.#error('BUSY')
    instance.onRun({ id, instance: instance.id, effect: 'READ', ...definition })
    return this.#done([`${instance.id}`])
  }

  async #write(id, definition) {
    const instance = this.#instance
    if (this.#state === 'E') return this.#error('MALFORMED')
    if (!instance.isPrimary || this.#isReadOnly) return this.#error('READONLY')
    if (!(await instance.work(instance.workMs))) return this.#error('BUSY')
    instance.onRun({ id, instance: instance.id, effect: 'WRITE', ...definition })
    if (this.#state === 'T') this.#hasWritten = true
    else await instance.group.commit()
    return this.#done()
  }

  async #commit(id) {
    const instance = this.#instance
    if (this.#state !== 'T') return this.#error('MALFORMED')
    if (!(await instance.work(instance.workMs))) return this.#error('BUSY')
    if (this.#hasWritten) await instance.group.commit()
    this.#state = 'I'
    instance.onRun({ id, instance: instance.id, effect: 'COMMIT' })
    return this.#done()
  }
}
