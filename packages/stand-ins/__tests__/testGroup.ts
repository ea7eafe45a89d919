/** Test fixture: three backend servers in this process, the first one primary, and pg clients. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import pg from 'pg'
import {
  BackendServer,
  backendServerSettingsSchema,
  type BackendServerSettings,
} from '../src/index.js'

const SERVER_COUNT = 3
const TIMEOUT_MILLISECONDS = 5000
const RETRY_MILLISECONDS = 10

interface Member {
  server: BackendServer
  readonly port: number
  readonly settings: Partial<BackendServerSettings>
}

export class TestGroup {
  #members: Member[] = []
  #clients: pg.Client[] = []
  #directory = ''

  async start(settings: Partial<BackendServerSettings> = {}): Promise<void> {
    this.#directory = mkdtempSync(join(tmpdir(), 'stand-ins-'))
    for (let index = 0; index < SERVER_COUNT; index += 1) {
      const memberSettings: Partial<BackendServerSettings> = {
        ...settings,
        dataFile: join(this.#directory, String(index)),
        initialRole: index === 0 ? 'primary' : 'replica',
        initialTerm: 1,
      }
      const server = new BackendServer(backendServerSettingsSchema.parse(memberSettings))
      this.#members.push({ server, port: await server.start(), settings: memberSettings })
    }
    await this.follow(1, 1, 0)
    await this.follow(2, 1, 0)
  }

  async stop(): Promise<void> {
    await Promise.all(this.#clients.map(client => client.end().catch(() => undefined)))
    for (const { server } of this.#members) server.stop()
    rmSync(this.#directory, { recursive: true, force: true })
    this.#members = []
    this.#clients = []
  }

  async restart(index: number): Promise<void> {
    const member = this.#member(index)
    member.server.stop()
    const settings = { ...member.settings, port: member.port }
    member.server = new BackendServer(backendServerSettingsSchema.parse(settings))
    await member.server.start()
  }

  port(index: number): number {
    return this.#member(index).port
  }

  async connect(index: number, options: pg.ClientConfig = {}): Promise<pg.Client> {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.port(index),
      user: 'tester',
      database: 'any',
      ...options,
    })
    client.on('error', () => undefined)
    this.#clients.push(client)
    await client.connect()
    return client
  }

  async query(
    index: number,
    statement: string,
    options: pg.ClientConfig = {},
  ): Promise<string[][]> {
    const client = await this.connect(index, options)
    const { rows } = await client.query<string[]>({ text: statement, rowMode: 'array' })
    await client.end()
    return rows
  }

  /** The SQLSTATE of a statement that is expected to fail; empty if it succeeds. */
  async errorCode(index: number, statement: string): Promise<string> {
    const client = await this.connect(index)
    return client.query(statement).then(
      () => '',
      (error: unknown) => (error instanceof pg.DatabaseError ? (error.code ?? '') : String(error)),
    )
  }

  async control(index: number, call: string): Promise<string[]> {
    const statement = `SELECT role, term, log_offset, fenced_term FROM ${call}`
    const rows = await this.query(index, statement, { application_name: 'nutmegcourse-control' })
    return rows[0] ?? []
  }

  async position(index: number): Promise<string[]> {
    return this.control(index, 'platform_position()')
  }

  async follow(index: number, term: number, primary: number): Promise<void> {
    await this.control(index, `platform_follow(${term}, '127.0.0.1', ${this.port(primary)})`)
  }

  #member(index: number): Member {
    const member = this.#members[index]
    if (member === undefined) throw new Error(`no member ${index}`)
    return member
  }
}

/** Repeats a check until it passes; throws its last error after the timeout. */
export async function eventually(check: () => Promise<void>): Promise<void> {
  const start = performance.now()
  for (;;) {
    try {
      await check()
      return
    } catch (error) {
      if (performance.now() - start > TIMEOUT_MILLISECONDS) throw error
      await new Promise(resolve => setTimeout(resolve, RETRY_MILLISECONDS))
    }
  }
}
