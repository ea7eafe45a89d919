/** Errors of the transport layer. Higher layers convert these to their own error types. */
export type TransportError =
  /** The connection could not be opened, or was closed during its startup; no request was sent. */
  | { readonly kind: 'connectRefused'; readonly detail: string }
  /** The connection attempt timed out; no request was sent. */
  | { readonly kind: 'connectTimeout'; readonly detail: string }
  /** The request is longer than a connection carries, so it was not sent. */
  | { readonly kind: 'tooLong'; readonly detail: string }
  /** An established connection broke; a request on it may have arrived. */
  | { readonly kind: 'connectionLost'; readonly detail: string }
  /** No answer arrived in time on an open connection; the request may have arrived. */
  | { readonly kind: 'answerTimeout'; readonly detail: string }
  /** The other side answered with an error. */
  | { readonly kind: 'remote'; readonly code: number; readonly detail: string }
