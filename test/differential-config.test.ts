import assert from 'node:assert/strict';
import test from 'node:test';
import {createHistory} from '../harness/create-history.js';
import {runDelivery} from '../harness/run-delivery.js';
import {
	fetchWholeConfiguration,
	type NaiveTeam,
} from '../naive/fetch-whole-configuration.js';
import type {Configuration} from '../src/protocol/configuration.js';

const dataCentres = {
	abdali: ['abdali-1', 'abdali-2', 'abdali-3', 'abdali-4', 'abdali-5'],
	marka: ['marka-1', 'marka-2', 'marka-3'],
};
const seeds = [1, 2, 3, 4, 5, 6, 7, 8];

function readTeams({teams}: Configuration): Record<string, NaiveTeam> {
	return Object.fromEntries(
		Object.entries(teams).map(
			([name, {revision, services, policies, routes}]) => [
				name,
				{revision, services, policies, routes},
			],
		),
	);
}

for (const seed of seeds) {
	test(`every node ends where fetching everything ends, seed ${seed}`, () => {
		const {entries, configurations, refused} = createHistory(seed, 30);
		assert.ok(entries.length > 5 && refused > 0);
		const expected = fetchWholeConfiguration(() => entries);
		const runs = runDelivery({seed, entries, dataCentres, intervalMs: 70});
		for (const [name, history] of runs) {
			assert.deepEqual(readTeams(history.at(-1)!), expected, name);
			const versions = history.map(({version}) => version);
			assert.deepEqual(
				versions,
				versions.toSorted((a, b) => a - b),
			);
			for (const configuration of history) {
				assert.deepEqual(configuration, configurations[configuration.version]);
			}
		}
	});
}
