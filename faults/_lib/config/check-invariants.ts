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

function replayLog(
	simulation: Simulation,
	violations: string[],
): Configuration[] {
	const history = [createConfiguration()];
	for (const entry of simulation.platform.log) {
		const next = applyEntry(history.at(-1)!, entry);
		if (next.isErr()) {
			violations.push(`log: entry ${entry.version}: ${next.error.message}`);
			return history;
		}

		history.push(next.value);
	}

	return history;
}

function checkActivations(
	simulation: Simulation,
	history: readonly Configuration[],
): string[] {
	const violations: string[] = [];
	for (const [slot, runs] of simulation.activations) {
		let highest = 0;
		for (const {version, digest} of runs) {
			if (version < highest) {
				violations.push(`${slot} reverted from ${highest} to ${version}`);
			}

			highest = Math.max(highest, version);
			if (history[version]?.digest !== digest) {
				violations.push(
					`${slot} ran a version ${version} that differs from the log`,
				);
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

function checkOutcomes(
	simulation: Simulation,
	outcomes: readonly OperatorOutcome[],
): readonly string[] {
	const violations: string[] = [];
	const accepted = new Map(
		simulation.platform.log.flatMap((entry) =>
			entry.commits.map(({submissionId}) => [submissionId, entry.version]),
		),
	);
	const byRevision = new Map<string, string>();
	for (const {submission, outcome, isSentOnce} of outcomes) {
		const {submissionId, manifest} = submission;
		const version = accepted.get(submissionId);
		if (outcome.kind === 'accepted') {
			if (version !== outcome.version) {
				violations.push(
					`${submissionId} was reported accepted but is not in the log`,
				);
			}

			const key = `${manifest.team}/${outcome.revision}`;
			const winner = byRevision.get(key) ?? submissionId;
			byRevision.set(key, winner);
			if (winner !== submissionId) {
				violations.push(
					`${winner} and ${submissionId} were both accepted as ${key}`,
				);
			}
		}

		if (outcome.kind === 'refused' && version !== undefined) {
			violations.push(`${submissionId} was reported refused but is in the log`);
		}

		if (outcome.kind === 'unavailable' && isSentOnce && version !== undefined) {
			const isRepeated = outcomes.some(
				(other) => other.submission === submission && !other.isSentOnce,
			);
			if (!isRepeated) {
				violations.push(
					`${submissionId} was reported unavailable but is in the log`,
				);
			}
		}
	}

	return violations;
}

function checkStatuses(simulation: Simulation): readonly string[] {
	const highest = new Map<string, number>();
	const violations: string[] = [];
	for (const {key, value} of simulation.platform.statuses) {
		const parsed = dataCentreStatusSchema.safeParse(value);
		const {version} = parsed.success ? parsed.data : inForceSchema.parse(value);
		if (version < (highest.get(key) ?? 0)) {
			violations.push(`${key} reverted to ${version}`);
		}

		highest.set(key, Math.max(version, highest.get(key) ?? 0));
	}

	return violations;
}

function checkFinalState(
	simulation: Simulation,
	newest: number,
): readonly string[] {
	const violations: string[] = [];
	for (const node of simulation.nodes.values()) {
		const version = node.readRunningVersion() ?? 0;
		if (version !== newest) {
			violations.push(`${node.name} ends at version ${version}, not ${newest}`);
		}
	}

	const dataCentres = new Set(
		[...simulation.nodes.values()].map(({dataCentre}) => dataCentre),
	);
	for (const dataCentre of dataCentres) {
		const last = simulation.platform.statuses.findLast(
			({key}) => key === `status/${dataCentre}`,
		);
		const status = dataCentreStatusSchema.safeParse(last?.value);
		if (status.data?.version !== newest) {
			violations.push(
				`${dataCentre} ends with ${status.data?.version} in force, not ${newest}`,
			);
		}
	}

	return violations;
}

/**
 * Checks the invariants of the configuration on the whole history of a
 * simulation.
 *
 * No node reverts to a lower version, runs a version that is incomplete or not
 * in the log, or one with a dangling reference; the newest accepted version
 * ends in force everywhere and no status reverts; the outcomes that operators
 * get match the log, and at most one submission is accepted for each revision.
 *
 * @param simulation - the simulation, at its end
 * @param outcomes - outcomes that operators got
 * @returns one line for each violation; empty when all invariants hold
 */
export function checkInvariants(
	simulation: Simulation,
	outcomes: readonly OperatorOutcome[],
): readonly string[] {
	const violations = [...simulation.violations];
	const history = replayLog(simulation, violations);
	return [
		...violations,
		...checkActivations(simulation, history),
		...checkReferences(history),
		...checkOutcomes(simulation, outcomes),
		...checkStatuses(simulation),
		...checkFinalState(simulation, history.length - 1),
	];
}
