/**
 * Lower bound for the cost of a Node process: relays bytes between each caller and a backend
 * connection of its own.
 */
import { connect } from 'node:net'
import { listen } from '@nutmegcourse/transport'
import { readProcessSettings, reportReady } from './processSettings.js'

const LOOPBACK = '127.0.0.1'
const { target } = readProcessSettings()

const { port } = await listen(LOOPBACK, 0, caller => {
  const server = connect({ host: LOOPBACK, port: Number(target), noDelay: true })
  caller.on('data', chunk => server.write(chunk))
  server.on('data', chunk => caller.write(chunk))
  caller.on('error', () => undefined).on('close', () => server.destroy())
  server.on('error', () => undefined).on('close', () => caller.destroy())
})
reportReady(port)
