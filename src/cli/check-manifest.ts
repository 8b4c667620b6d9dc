import type {Configuration, Problem} from '../protocol/configuration.js';
import type {Manifest} from '../protocol/manifest.js';
import {createConfiguration} from '../state/create-configuration.js';
import {parseManifest} from '../protocol/parse-manifest.js';
import {validateManifest} from '../state/validate-manifest.js';

function createAssumedConfiguration({team, replaces}: Manifest): Configuration {
	const configuration = createConfiguration();
	const teamConfiguration = {
		revision: replaces,
		version: 1,
		services: {},
		policies: {},
		routes: [],
		submissions: [],
		digest: '',
	};
	return replaces > 0
		? {...configuration, teams: {[team]: teamConfiguration}}
		: configuration;
}

/** Result of a check of a manifest without a node. */
export type ManifestCheck = {
	readonly problems: readonly Problem[];
	/** Places that depend on other teams, whose services only a node knows. */
	readonly unchecked: readonly string[];
};

/**
 * Checks a manifest without a node.
 *
 * Assumes that `replaces` is the current revision. References to services of
 * other teams can't be checked and are listed instead.
 *
 * @param text - the manifest as JSON
 * @returns the problems and what was not checked
 * @example
 * checkManifest('{').problems.length; // 1
 */
export function checkManifest(text: string): ManifestCheck {
	const parsed = parseManifest(text);
	if (parsed.isErr()) {
		return {problems: parsed.error, unchecked: []};
	}

	const manifest = parsed.value;
	const unchecked = manifest.routes
		.filter(
			({service}) =>
				service.includes('/') && !service.startsWith(`${manifest.team}/`),
		)
		.map(({name}) => `routes.${name}.service`);
	const problems = validateManifest(
		createAssumedConfiguration(manifest),
		manifest,
	);
	return {
		problems: problems.filter(
			({code, place}) =>
				!(code === 'unknown-service' && unchecked.includes(place)),
		),
		unchecked,
	};
}
