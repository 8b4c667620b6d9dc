import {err, ok, type Result} from 'neverthrow';
import {
	configurationSchema,
	type Configuration,
	type Problem,
} from '../protocol/configuration.js';
import {computeConfigurationDigest} from './compute-configuration-digest.js';
import {computeTeamDigest} from './compute-team-digest.js';
import {validateManifest} from './validate-manifest.js';

function findTeamProblem(
	configuration: Configuration,
	name: string,
): Problem | undefined {
	const team = configuration.teams[name]!;
	if (computeTeamDigest(team) !== team.digest) {
		return {
			code: 'digest',
			place: `teams.${name}`,
			message: 'the team does not have its digest',
		};
	}

	const {services, policies, routes, revision} = team;
	const manifest = {team: name, replaces: revision, services, policies, routes};
	const [problem] = validateManifest(configuration, manifest);
	return problem && {...problem, place: `teams.${name}.${problem.place}`};
}

/**
 * Validates a configuration received from another node or from the platform.
 *
 * Checks the schema, the digests of the teams and of the configuration, and the
 * references of all routes.
 *
 * @param value - the value as received
 * @returns the configuration, or the first problem found
 * @example
 * validateConfiguration(createConfiguration()).isOk(); // true
 */
export function validateConfiguration(
	value: unknown,
): Result<Configuration, Problem> {
	const parsed = configurationSchema.safeParse(value);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		return err({
			code: 'schema',
			place: issue?.path.join('.') ?? '',
			message: issue?.message ?? 'not a configuration',
		});
	}

	const configuration = parsed.data;
	const {version, teams, digest} = configuration;
	if (computeConfigurationDigest(version, teams) !== digest) {
		return err({
			code: 'digest',
			place: 'digest',
			message: 'the configuration does not have its digest',
		});
	}

	for (const name of Object.keys(teams)) {
		const problem = findTeamProblem(configuration, name);
		if (problem) {
			return err(problem);
		}
	}

	return ok(configuration);
}
