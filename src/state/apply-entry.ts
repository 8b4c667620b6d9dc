import {err, ok, type Result} from 'neverthrow';
import type {
	Configuration,
	LogEntry,
	Problem,
} from '../protocol/configuration.js';
import {applyCommits} from './apply-commits.js';
import {validateManifest} from './validate-manifest.js';

/**
 * Applies a log entry to a configuration and checks all invariants.
 *
 * The entry must have the next version, each of its manifests must be valid for
 * the configuration with the preceding manifests applied, and the result must
 * have the entry's digest.
 *
 * @param configuration - the configuration before; not modified
 * @param entry - the log entry to apply
 * @returns the next configuration, or the problem for which the entry is refused
 * @example
 * applyEntry(createConfiguration(), entry).isOk();
 */
export function applyEntry(
	configuration: Configuration,
	entry: LogEntry,
): Result<Configuration, Problem> {
	if (entry.version !== configuration.version + 1) {
		return err({
			code: 'version-gap',
			place: 'version',
			message: `entry ${entry.version} does not follow ${configuration.version}`,
		});
	}

	let intermediate = configuration;
	for (const commit of entry.commits) {
		const [problem] = validateManifest(intermediate, commit.manifest);
		if (problem) {
			return err(problem);
		}

		intermediate = {
			...applyCommits(intermediate, [commit]),
			version: intermediate.version,
		};
	}

	const next = applyCommits(configuration, entry.commits);
	if (next.digest !== entry.digest) {
		return err({
			code: 'digest',
			place: 'digest',
			message: 'the result does not have the digest of the entry',
		});
	}

	return ok(next);
}
