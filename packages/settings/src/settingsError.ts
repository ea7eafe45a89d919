/** All mistakes in a YAML document, each with its location. */
export interface SettingsMistake {
  /** Path inside the document, such as `classes[2].latencyMilliseconds`. */
  readonly path: string
  /** One-based; null if the path is not in the document, as for a missing key. */
  readonly line: number | null
  /** The value found there, truncated. */
  readonly value: string
  /** What is wrong and what is allowed. */
  readonly message: string
}

export interface SettingsError {
  readonly file: string
  readonly mistakes: readonly SettingsMistake[]
}

/** One line per mistake: `file:line: path: message (is: value)`. */
export function formatSettingsError(error: SettingsError): string {
  return error.mistakes
    .map(mistake => {
      const location = mistake.line === null ? error.file : `${error.file}:${mistake.line}`
      return `${location}: ${mistake.path}: ${mistake.message} (is: ${mistake.value})`
    })
    .join('\n')
}
