/** Message types of the PostgreSQL 3.0 protocol, as the first byte of each frame. */

/** Messages that a caller sends. */
export const CallerMessage = {
  bind: 0x42,
  close: 0x43,
  copyData: 0x64,
  copyDone: 0x63,
  copyFail: 0x66,
  describe: 0x44,
  execute: 0x45,
  flush: 0x48,
  functionCall: 0x46,
  parse: 0x50,
  password: 0x70,
  query: 0x51,
  sync: 0x53,
  terminate: 0x58,
} as const

/** Messages that a backend server sends. */
export const ServerMessage = {
  authentication: 0x52,
  backendKeyData: 0x4b,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  copyBothResponse: 0x57,
  copyInResponse: 0x47,
  copyOutResponse: 0x48,
  dataRow: 0x44,
  emptyQueryResponse: 0x49,
  errorResponse: 0x45,
  negotiateProtocolVersion: 0x76,
  noData: 0x6e,
  noticeResponse: 0x4e,
  notificationResponse: 0x41,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parseComplete: 0x31,
  portalSuspended: 0x73,
  readyForQuery: 0x5a,
  rowDescription: 0x54,
} as const

/** Transaction status in ReadyForQuery, as the protocol's letter. */
export const TransactionStatus = {
  idle: 0x49,
  open: 0x54,
  failed: 0x45,
} as const

export type TransactionStatusByte = (typeof TransactionStatus)[keyof typeof TransactionStatus]

/** Type byte and length: every frame after the startup exchange has them. */
export const FRAME_HEADER_BYTES = 5
/** The length field, which counts itself but not the type byte. */
export const LENGTH_BYTES = 4
