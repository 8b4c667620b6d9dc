import {
	dataCentreStatusSchema,
	inForceSchema,
	type Configuration,
} from '../../../src/protocol/configuration.js';
import {applyEntry} from '../../../src/state/apply-entry.js';
import {createConfiguration} from '../../../src/state/create-configuration.js';
import {validateConfiguration} from '../../../src/state/validate-configuration.js';
import type {Simulation} from './config-simulation.js';
import type {OperatorOutcome} from './start-operators.js';

function replayLog(world: Simulation, violations: string[]): Configuration[] {
	const history = [createConfiguration()];
	for (const entry of world.platform.log) {
		const next = applyEntry(history.at(-1)!, entry);
		if (next.isErr()) {
			violations.push(`log: entry ${entry.version}: ${next.error.message}`);
			return history;
		}

		history.push(next.value);
	}

	return history;
}

function checkRuns(
	world: Simulation,
	history: readonly Configuration[],
): string[] {
	const violations: string[] = [];
	for (const [slot, runs] of world.activations) {
		let highest = 0;
		for (const {version, digest} of runs) {
			if (version < highest) {
				violations.push(`${slot} moved back from ${highest} to ${version}`);
			}

			highest = Math.max(highest, version);
			if (history[version]?.digest !== digest) {
				violations.push(`${slot} ran a version ${version} of its own`);
			}
		}
	}

	return violations;
}

function checkReferences(history: readonly Configuration[]): string[] {
	return history
		.filter((configuration) => validateConfiguration(configuration).isErr())
		.map(({version}) => `version ${version} has a dangling reference`);
}

function checkVerdicts(
	world: Simulation,
	verdicts: readonly OperatorOutcome[],
): readonly string[] {
	const violations: string[] = [];
	const accepted = new Map(
		world.platform.log.flatMap((entry) =>
			entry.commits.map(({submissionId}) => [submissionId, entry.version]),
		),
	);
	const byRevision = new Map<string, string>();
	for (const {submission, outcome, isSentOnce} of verdicts) {
		const {submissionId, manifest} = submission;
		const version = accepted.get(submissionId);
		if (outcome.kind === 'accepted') {
			if (version !== outcome.version) {
				violations.push(`${submissionId} was called accepted and is not`);
			}

			const key = `${manifest.team}/${outcome.revision}`;
			const winner = byRevision.get(key) ?? submissionId;
			byRevision.set(key, winner);
			if (winner !== submissionId) {
				violations.push(`${winner} and ${submissionId} both won ${key}`);
			}
		}

		if (outcome.kind === 'refused' && version !== undefined) {
			violations.push(`${submissionId} was called refused and is accepted`);
		}

		if (outcome.kind === 'unavailable' && isSentOnce && version !== undefined) {
			const isRepeated = verdicts.some(
				(other) => other.submission === submission && !other.isSentOnce,
			);
			if (!isRepeated) {
				violations.push(`${submissionId} was called not accepted and is`);
			}
		}
	}

	return violations;
}

function checkStatuses(world: Simulation): readonly string[] {
	const highest = new Map<string, number>();
	const violations: string[] = [];
	for (const {key, value} of world.platform.statuses) {
		const parsed = dataCentreStatusSchema.safeParse(value);
		const {version} = parsed.success ? parsed.data : inForceSchema.parse(value);
		if (version < (highest.get(key) ?? 0)) {
			violations.push(`${key} reverted to ${version}`);
		}

		highest.set(key, Math.max(version, highest.get(key) ?? 0));
	}

	return violations;
}

function checkEnd(world: Simulation, newest: number): readonly string[] {
	const violations: string[] = [];
	for (const node of world.nodes.values()) {
		const version = node.readRunningVersion() ?? 0;
		if (version !== newest) {
			violations.push(`${node.name} ends with ${version}, not ${newest}`);
		}
	}

	const dataCentres = new Set(
		[...world.nodes.values()].map(({dataCentre}) => dataCentre),
	);
	for (const dataCentre of dataCentres) {
		const last = world.platform.statuses.findLast(
			({key}) => key === `status/${dataCentre}`,
		);
		const status = dataCentreStatusSchema.safeParse(last?.value);
		if (status.data?.version !== newest) {
			violations.push(
				`${dataCentre} ends in force with ${status.data?.version}, not ${newest}`,
			);
		}
	}

	return violations;
}

/**
 * Checks the brief's invariants on the whole history of a world.
 *
 * No node moved back, ran a version in part or of its own, or one with a
 * dangling reference; each accepted version ends in force everywhere and no
 * status reverted; operators were told the truth, and one won each revision.
 *
 * @param world - the world, at its end
 * @param verdicts - what operators were told
 * @returns what was broken, empty when all held
 */
export function checkInvariants(
	world: Simulation,
	verdicts: readonly OperatorOutcome[],
): readonly string[] {
	const violations = [...world.violations];
	const history = replayLog(world, violations);
	return [
		...violations,
		...checkRuns(world, history),
		...checkReferences(history),
		...checkVerdicts(world, verdicts),
		...checkStatuses(world),
		...checkEnd(world, history.length - 1),
	];
}
