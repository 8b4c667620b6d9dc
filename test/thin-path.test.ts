import assert from 'node:assert/strict';
import test from 'node:test';
import {request} from 'undici';
import {createCostlineManifest} from '../demo/costline-manifest.js';
import {pollUntil} from '../harness/poll-until.js';
import {startHost} from '../harness/start-host.js';
import {startProcess} from '../harness/start-process.js';

test('a request is served under a submitted manifest', async (t) => {
	const platform = await startProcess('platform', []);
	t.after(platform.stop);
	const host = await startHost({
		name: 'abdali-1',
		dataCentre: 'abdali',
		platformUrl: platform.ready.url!,
		team: 'kitchens',
		service: 'pricebook',
	});
	t.after(host.stop);
	const submitted = await request(
		`http://${host.node.ready.administration}/manifests`,
		{method: 'POST', body: JSON.stringify(createCostlineManifest(0))},
	);
	assert.equal(submitted.statusCode, 200);

	const url = `http://${host.node.ready.callers}/kitchens/prices/lamb`;
	const isServed = await pollUntil(async () => {
		const {statusCode} = await request(url);
		return statusCode === 200;
	}, 10_000);
	assert.ok(isServed);
	const answer = await request(url);
	assert.equal(answer.headers['boragehitch-outcome'], 'answered');
});
