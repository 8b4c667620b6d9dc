import type {
	Commit,
	Configuration,
	TeamConfiguration,
} from '../protocol/configuration.js';
import {submissionRecordsPerTeam} from '../protocol/constants.js';
import {computeConfigurationDigest} from './compute-configuration-digest.js';
import {computeTeamDigest} from './compute-team-digest.js';

function applyCommit(
	team: TeamConfiguration | undefined,
	commit: Commit,
	version: number,
): TeamConfiguration {
	const revision = (team?.revision ?? 0) + 1;
	const record = {
		id: commit.submissionId,
		revision,
		version,
		acceptedAtMs: commit.acceptedAtMs,
	};
	const next = {
		revision,
		version,
		services: commit.manifest.services,
		policies: commit.manifest.policies,
		routes: commit.manifest.routes,
		submissions: [...(team?.submissions ?? []), record].slice(
			-submissionRecordsPerTeam,
		),
	};
	return {...next, digest: computeTeamDigest(next)};
}

/**
 * Applies accepted manifests to a configuration and returns the next version.
 *
 * The manifests are not validated; see `validateManifest` and `applyEntry`.
 *
 * @param configuration - the configuration before; not modified
 * @param commits - accepted manifests in order
 * @returns the configuration with its version raised by one
 * @example
 * applyCommits(createConfiguration(), [commit]).version; // 1
 */
export function applyCommits(
	configuration: Configuration,
	commits: readonly Commit[],
): Configuration {
	const version = configuration.version + 1;
	const teams = {...configuration.teams};
	for (const commit of commits) {
		const name = commit.manifest.team;
		teams[name] = applyCommit(teams[name], commit, version);
	}

	return {version, digest: computeConfigurationDigest(version, teams), teams};
}
