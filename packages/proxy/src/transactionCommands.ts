/**
 * The words that end a transaction. Read only where the proxy must answer in the server's place, after
 * the transaction was lost with its connection; never to decide where a statement goes.
 */

export type TransactionEnd = 'commit' | 'rollback'

const LEADING_COMMENTS = /^(?:\s+|--[^\n]*(?:\n|$)|\/\*[\s\S]*?\*\/)*/
const COMMIT = /^(?:commit|end)\b(?!\s+prepared)/i
const ROLLBACK = /^(?:rollback|abort)\b(?!\s+(?:prepared|(?:work\s+|transaction\s+)?to)\b)/i

export function readTransactionEnd(text: string): TransactionEnd | null {
  const statement = text.replace(LEADING_COMMENTS, '')
  if (COMMIT.test(statement)) return 'commit'
  return ROLLBACK.test(statement) ? 'rollback' : null
}

const LOCAL_SETTING = /^set\s+(?:local|transaction|constraints)\b/i

/** Whether a statement that the server answered with the tag SET ends with its transaction. */
export const isLocalSetting = (text: string): boolean =>
  LOCAL_SETTING.test(text.replace(LEADING_COMMENTS, ''))
