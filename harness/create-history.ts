import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {decideCommit} from '../src/coordination/decide-commit.js';
import type {
	Configuration,
	LogEntry,
	Submission,
} from '../src/protocol/configuration.js';
import {manifestSchema} from '../src/protocol/manifest.js';
import {applyEntry} from '../src/state/apply-entry.js';
import {createConfiguration} from '../src/state/create-configuration.js';

/** A history of accepted entries. */
export type History = {
	readonly entries: readonly LogEntry[];
	/** The configuration after each entry, beginning with the empty one. */
	readonly configurations: readonly Configuration[];
	/** Submissions that were refused on the way. */
	readonly refused: number;
};

const teams = ['kitchens', 'brigades', 'water-board'];
const services = ['pantry', 'payables', 'pricebook'];

/**
 * Creates a history by offering random submissions to `decideCommit`: good
 * ones, conflicting ones, and ones whose routes point nowhere.
 *
 * @param seed - seed of the submissions
 * @param length - number of groups of submissions offered
 * @returns the accepted entries and the configurations between them
 * @example
 * createHistory(1, 20).entries.length;
 */
export function createHistory(seed: number, length: number): History {
	const generator = xoroshiro128plus(seed);
	const draw = (count: number) => uniformInt(generator, 0, count - 1);
	const entries: LogEntry[] = [];
	let configuration = createConfiguration();
	const configurations = [configuration];
	let refused = 0;

	function createSubmission(id: string): Submission {
		const team = teams[draw(teams.length)]!;
		const present = configuration.teams[team]?.revision ?? 0;
		const declared = services.filter(() => draw(3) > 0);
		const other = teams[draw(teams.length)]!;
		const targets = [...services, `${other}/${services[draw(3)]!}`];
		return {
			submissionId: id,
			manifest: manifestSchema.parse({
				team,
				replaces: draw(6) === 0 ? present + 1 : present,
				services: Object.fromEntries(
					declared.map((name) => [name, {shared: draw(3) > 0}]),
				),
				policies: {
					lookup: {repeatable: draw(2) === 0, deadlineMs: 1 + draw(900)},
				},
				routes: Array.from({length: draw(3)}, (_, index) => ({
					name: `route-${index}`,
					path: `/${team}/${index}`,
					service: targets[draw(targets.length)]!,
					policy: draw(12) === 0 ? 'absent' : 'lookup',
				})),
			}),
		};
	}

	for (let group = 0; group < length; group++) {
		const submissions = Array.from({length: 1 + draw(4)}, (_, index) =>
			createSubmission(`s-${group}-${index}`),
		);
		const decision = decideCommit(configuration, submissions, group * 60_000);
		refused += decision.outcomes.filter(({kind}) => kind === 'refused').length;
		if (decision.entry) {
			entries.push(decision.entry);
			configuration = applyEntry(configuration, decision.entry)._unsafeUnwrap();
			configurations.push(configuration);
		}
	}

	return {entries, configurations, refused};
}
