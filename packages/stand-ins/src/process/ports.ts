/** Ports chosen before the processes start, so that every address is known and survives restarts. */
import { randomInt } from 'node:crypto'
import type { Server } from 'node:net'
import { listen } from '@nutmegcourse/transport'

/** All below the range from which the system takes the ports of outgoing connections. */
const FIRST_LOCK_PORT = 10_900
const FIRST_PORT = 11_000
const SLICES = 20
const SLICE_PORTS = 1000
const LOOPBACK = '127.0.0.1'

let ownSlice: Promise<number> | null = null

export async function freePorts(count: number): Promise<readonly number[]> {
  ownSlice ??= takeSlice()
  const lowest = FIRST_PORT + (await ownSlice) * SLICE_PORTS
  const found = new Set<number>()
  while (found.size < count) {
    const port = randomInt(lowest, lowest + SLICE_PORTS)
    if (found.has(port) || !(await isFree(port))) continue
    found.add(port)
  }
  return [...found]
}

/**
 * Two deployments that start at once could both find a port free before either listens on it: one of
 * their processes then ends at its start. So each load process takes its ports from a slice of its
 * own; listening on the slice's lock port, for as long as it lives, is what makes the slice its own.
 */
async function takeSlice(): Promise<number> {
  for (let slice = 0; slice < SLICES; slice += 1) {
    const lock = await tryListen(FIRST_LOCK_PORT + slice)
    if (lock === null) continue
    lock.unref()
    return slice
  }
  throw new Error('no slice of ports is free')
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
