/** Explores the configuration specification within the given bounds. */
import {
  configurationSuccessors,
  findConfigurationViolation,
  initialConfiguration,
  type ConfigurationBounds,
  type ConfigurationMutation,
  type ConfigurationStep,
} from './configurationSpecification.js'
import { explore, type Exploration } from './explore.js'

export function exploreConfiguration(
  bounds: ConfigurationBounds,
  mutation: ConfigurationMutation,
): Exploration<ConfigurationStep> {
  return explore({
    initial: initialConfiguration(bounds),
    successors: state => configurationSuccessors(state, mutation),
    key: state => JSON.stringify(state),
    violation: findConfigurationViolation,
  })
}
