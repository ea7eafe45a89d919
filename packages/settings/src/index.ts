export * from './processSettings.js'
export * from './readYaml.js'
export * from './settingsError.js'
export * from './targetsDocument.js'
