/** The messages sent to a caller when its startup is accepted. */
import {
  AUTHENTICATION_OK,
  TransactionStatus,
  backendKeyData,
  negotiateProtocolVersion,
  parameterStatus,
  readyForQuery,
} from '@nutmegcourse/protocol'

/** Identifies a caller in a CancelRequest. */
export interface CancelKey {
  readonly processId: number
  readonly secret: number
}

export interface StartupResponse {
  /** ParameterStatus values. */
  readonly statuses: ReadonlyMap<string, string>
  readonly key: CancelKey
  /** Minor protocol version requested by the client. */
  readonly minorVersion: number
  /** Protocol options that the proxy does not support. */
  readonly unknownOptions: readonly string[]
}

export function encodeStartupResponse(response: StartupResponse): Buffer {
  const { key, minorVersion, unknownOptions } = response
  const negotiates = minorVersion > 0 || unknownOptions.length > 0
  const statuses = [...response.statuses].map(([name, value]) => parameterStatus(name, value))
  return Buffer.concat([
    ...(negotiates ? [negotiateProtocolVersion(unknownOptions)] : []),
    AUTHENTICATION_OK,
    ...statuses,
    backendKeyData(key.processId, key.secret),
    readyForQuery(TransactionStatus.idle),
  ])
}
