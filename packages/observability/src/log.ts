/** Structured logs: one JSON object a line on standard error, so that standard output stays a program's own. */
import { createLogger, format, transports, type Logger } from 'winston'

export type Log = Logger

export interface LogIdentity {
  readonly process: 'proxy' | 'agent' | 'ctl' | 'host'
  readonly entryHost: string
  readonly zone: string
}

export function createLog(identity: LogIdentity, level: string): Log {
  const output = new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })
  const logger = createLogger({
    level,
    defaultMeta: identity,
    format: format.combine(format.timestamp(), format.json()),
  })
  // winston's types give its own console transport as an interface beside the class it extends.
  // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
  return logger.add(output)
}
