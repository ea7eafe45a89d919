/** Structured logs: one JSON object a line. */
import type { Writable } from 'node:stream'
import { createLogger, format, transports, type Logger } from 'winston'

export type Log = Logger

export interface LogIdentity {
  readonly process: 'proxy' | 'agent' | 'ctl' | 'host'
  readonly entryHost: string
  readonly zone: string
}

/** `stream` takes the lines in place of standard error. */
export function createLog(identity: LogIdentity, level: string, stream?: Writable): Log {
  const output =
    stream === undefined
      ? new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })
      : new transports.Stream({ stream })
  const logger = createLogger({
    level,
    defaultMeta: identity,
    format: format.combine(format.timestamp(), format.json()),
  })
  // winston's types give its own console transport as an interface beside the class it extends.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  return logger.add(output)
}
