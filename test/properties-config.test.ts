import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createHistory} from '../harness/create-history.js';
import {interleaveByTeam} from '../src/coordination/interleave-by-team.js';
import type {Configuration, LogEntry} from '../src/protocol/configuration.js';
import {applyEntry} from '../src/state/apply-entry.js';
import {createConfiguration} from '../src/state/create-configuration.js';
import {validateConfiguration} from '../src/state/validate-configuration.js';
import {validateManifest} from '../src/state/validate-manifest.js';

const histories = [1, 2, 3, 4].map((seed) => createHistory(seed, 16));
const historyArbitrary = fc.constantFrom(0, 1, 2, 3);
const parameters = {seed: 4, numRuns: 200};

/** Applies what fits, in the order given. */
function applyAll(entries: readonly LogEntry[]): readonly Configuration[] {
	let configuration = createConfiguration();
	return entries.map((entry) => {
		configuration = applyEntry(configuration, entry).unwrapOr(configuration);
		return configuration;
	});
}

test('entries in any order and number give a whole configuration or a refusal', () => {
	fc.assert(
		fc.property(
			historyArbitrary,
			fc.array(fc.nat(), {maxLength: 60}),
			(history, picks) => {
				const {entries, configurations} = histories[history]!;
				const mixed = picks.map((pick) => entries[pick % entries.length]!);
				for (const result of applyAll(mixed)) {
					assert.deepEqual(result, configurations[result.version]);
				}

				const last = applyAll([...mixed, ...entries]).at(-1);
				assert.deepEqual(last, configurations.at(-1));
			},
		),
		parameters,
	);
});

test('an entry that would give another configuration is refused', () => {
	fc.assert(
		fc.property(
			historyArbitrary,
			fc.nat(),
			fc.nat(),
			fc.constantFrom('digest', 'version', 'deadline', 'dropped', 'twice'),
			(history, at, place, change) => {
				const {entries, configurations} = histories[history]!;
				const index = at % entries.length;
				const entry = structuredClone(entries[index]!);
				const before = configurations[index]!;
				const copy = structuredClone(before);
				const commit = entry.commits[place % entry.commits.length]!;
				const changed: Record<typeof change, () => LogEntry> = {
					digest: () => ({...entry, digest: entry.digest.replaceAll('a', 'b')}),
					version: () => ({...entry, version: entry.version + 1 + (place % 3)}),
					deadline() {
						commit.manifest.policies.lookup!.deadlineMs += 1;
						return entry;
					},
					dropped: () => ({...entry, commits: entry.commits.slice(1)}),
					twice: () => ({...entry, commits: [...entry.commits, commit]}),
				};
				const received = changed[change]();
				fc.pre(
					change !== 'digest' || received.digest !== entries[index]!.digest,
				);
				const result = applyEntry(before, received);
				// A later manifest of the same team may replace the changed one; then
				// the result is the very configuration that was accepted.
				const isOverwritten = entry.commits
					.slice(entry.commits.indexOf(commit) + 1)
					.some(({manifest}) => manifest.team === commit.manifest.team);
				if (change === 'deadline' && isOverwritten) {
					assert.deepEqual(result._unsafeUnwrap(), configurations[index + 1]);
				} else {
					assert.ok(result.isErr());
				}

				assert.deepEqual(before, copy);
			},
		),
		parameters,
	);
});

test('what validation lets through leaves a valid configuration', () => {
	fc.assert(
		fc.property(historyArbitrary, fc.nat(), (history, at) => {
			const {entries, configurations} = histories[history]!;
			const index = at % entries.length;
			const [commit] = entries[index]!.commits;
			const before = configurations[index]!;
			assert.deepEqual(validateManifest(before, commit!.manifest), []);
			const after = configurations[index + 1]!;
			assert.deepEqual(validateConfiguration(after)._unsafeUnwrap(), after);
		}),
		parameters,
	);
});

test('interleaving loses nothing, keeps each order and serves teams in turn', () => {
	const arbitrary = fc.array(fc.constantFrom('a', 'b', 'c'), {maxLength: 30});
	fc.assert(
		fc.property(arbitrary, (teams) => {
			const submissions = teams.map((team, index) => ({
				submissionId: `${team}-${index}`,
				manifest: {team, replaces: 0, services: {}, policies: {}, routes: []},
			}));
			const ordered = interleaveByTeam(submissions);
			const pick = (list: typeof ordered, team: string) =>
				list.filter(({manifest}) => manifest.team === team);
			assert.equal(ordered.length, submissions.length);
			for (const team of new Set(teams)) {
				assert.deepEqual(pick(ordered, team), pick(submissions, team));
				const first = ordered.findIndex((item) => item.manifest.team === team);
				assert.ok(first < new Set(teams).size);
			}
		}),
		parameters,
	);
});
