import assert from 'node:assert/strict';
import test from 'node:test';
import {manifestSchema} from '../protocol/manifest.js';
import {applyCommits} from './apply-commits.js';
import {compileRoutes} from './compile-routes.js';
import {createConfiguration} from './create-configuration.js';
import {matchRoute} from './match-route.js';

const manifest = manifestSchema.parse({
	team: 'kitchens',
	replaces: 0,
	services: {pantry: {}, pricebook: {}},
	policies: {lookup: {}},
	routes: ['pantry', 'pricebook'].map((service) => ({
		name: service,
		path: `/kitchens/${service}`,
		service,
		policy: 'lookup',
	})),
});
const configuration = applyCommits(createConfiguration(), [
	{submissionId: 'a', acceptedAtMs: 0, manifest},
]);

test('a route is live only if an upstream of its service is known', () => {
	const table = compileRoutes(configuration, new Set(['kitchens/pantry']));
	const isLive = (path: string) =>
		matchRoute(table, {method: 'GET', host: '', path})?.isLive;
	assert.equal(isLive('/kitchens/pantry/lamb'), true);
	assert.equal(isLive('/kitchens/pricebook'), false);
	assert.equal(isLive('/kitchens/other'), undefined);
	assert.equal(isLive('/brigades/pantry'), undefined);
});
