/** Chooses ports before the processes start, so that all addresses are known and survive restarts. */
import { randomInt } from 'node:crypto'
import type { Server } from 'node:net'
import { listen } from '@nutmegcourse/transport'

/** All ports are below the range that the operating system uses for outgoing connections. */
const FIRST_LOCK_PORT = 10_900
const FIRST_PORT = 11_000
const SLICE_COUNT = 20
const PORTS_PER_SLICE = 1000
const LOOPBACK = '127.0.0.1'

let ownSlice: Promise<number> | null = null

export async function freePorts(count: number): Promise<readonly number[]> {
  ownSlice ??= reserveSlice()
  const firstPort = FIRST_PORT + (await ownSlice) * PORTS_PER_SLICE
  const found = new Set<number>()
  while (found.size < count) {
    const port = randomInt(firstPort, firstPort + PORTS_PER_SLICE)
    if (found.has(port) || !(await isFree(port))) continue
    found.add(port)
  }
  return [...found]
}

/**
 * Two deployments that start at the same time could both find a port free before either listens on
 * it, and one of their processes would fail at its start. Each process that starts a deployment
 * therefore takes its ports from its own slice, and reserves the slice by listening on the slice's
 * lock port until it exits.
 */
async function reserveSlice(): Promise<number> {
  for (let slice = 0; slice < SLICE_COUNT; slice += 1) {
    const lock = await tryListen(FIRST_LOCK_PORT + slice)
    if (lock === null) continue
    lock.unref()
    return slice
  }
  throw new Error('all port slices are in use by other processes')
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port)
  if (server === null) return false
  await new Promise(resolve => server.close(resolve))
  return true
}

async function tryListen(port: number): Promise<Server | null> {
  try {
    const { server } = await listen(LOOPBACK, port, socket => socket.destroy())
    return server
  } catch {
    return null
  }
}
