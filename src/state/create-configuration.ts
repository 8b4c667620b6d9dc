import type {Configuration} from '../protocol/configuration.js';
import {computeConfigurationDigest} from './compute-configuration-digest.js';

/**
 * Creates the empty configuration, version 0.
 *
 * @returns a configuration without teams
 * @example
 * createConfiguration().version; // 0
 */
export function createConfiguration(): Configuration {
	return {version: 0, digest: computeConfigurationDigest(0, {}), teams: {}};
}
