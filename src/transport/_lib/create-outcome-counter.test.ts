import assert from 'node:assert/strict';
import test from 'node:test';
import {Counter, Registry} from 'prom-client';
import {createOutcomeCounter} from './create-outcome-counter.js';

test('each outcome is counted once, under its own labels', async () => {
	const registry = new Registry();
	const outcomes = createOutcomeCounter(
		new Counter({
			name: 'attempts',
			help: 'Attempts',
			labelNames: ['service', 'outcome', 'reason'],
			registers: [registry],
		}),
	);
	outcomes.count('pricebook', 'answered', undefined);
	outcomes.count('pricebook', 'answered', undefined);
	outcomes.count('pricebook', 'not-run', 'deadline');
	outcomes.count('pricebook', 'unknown', 'deadline');
	outcomes.count('registry', 'not-run', 'saturated');
	outcomes.report();
	outcomes.report();
	outcomes.count('pricebook', 'unknown', 'deadline');
	outcomes.report();
	const text = await registry.metrics();
	assert.deepEqual(
		text.split('\n').filter((line) => line.startsWith('attempts')),
		[
			'attempts{service="pricebook",outcome="answered",reason="none"} 2',
			'attempts{service="pricebook",outcome="not-run",reason="deadline"} 1',
			'attempts{service="pricebook",outcome="unknown",reason="deadline"} 2',
			'attempts{service="registry",outcome="not-run",reason="saturated"} 1',
		],
	);
});
