/** Structured logs: one JSON object per line. */
import type { Writable } from 'node:stream'
import { createLogger, format, transports, type Logger } from 'winston'

export type Log = Logger

export interface LogIdentity {
  readonly process: 'proxy' | 'agent' | 'ctl' | 'host'
  readonly entryHost: string
  readonly zone: string
}

/** Lines are written to `stream` if given, otherwise to standard error. */
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
  // winston's types declare the console transport as an interface, separate from the class that it extends.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  return logger.add(output)
}
