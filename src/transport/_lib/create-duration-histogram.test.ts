import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {Histogram, Registry} from 'prom-client';
import {createDurationHistogram} from './create-duration-histogram.js';

const options = {
	name: 'wait_ms',
	help: 'Time that a request waits, ms',
	labelName: 'service',
	buckets: [2, 5, 10, 25],
};

/** Returns the text of the library's histogram after the same observations. */
async function formatExpected(
	observed: ReadonlyArray<readonly [string, number]>,
): Promise<string> {
	const {name, help, labelName, buckets} = options;
	const registry = new Registry();
	const histogram = new Histogram({
		name,
		help,
		labelNames: [labelName],
		buckets: [...buckets],
		registers: [registry],
	});
	for (const [label, duration] of observed) {
		histogram.observe({[labelName]: label}, duration);
	}

	const text = await registry.metrics();
	return text.trim();
}

function format(observed: ReadonlyArray<readonly [string, number]>): string {
	const histogram = createDurationHistogram(options);
	for (const [label, duration] of observed) {
		histogram.observe(label, duration);
	}

	return histogram.formatText();
}

test('its text is that of the library, before and after observations', async () => {
	assert.equal(format([]), await formatExpected([]));
	const observed = [
		['pricebook', 0],
		['pricebook', 5],
		['pricebook', 5.5],
		['registry', 1000],
		['a"b\\c\nd', 3],
	] as const;
	assert.equal(format(observed), await formatExpected(observed));
});

test('its text is that of the library, whatever is observed', async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(
				fc.tuple(
					fc.constantFrom('pricebook', 'registry', 'shop'),
					fc.double({min: 0, max: 40, noNaN: true}),
				),
			),
			async (observed) => {
				assert.equal(format(observed), await formatExpected(observed));
			},
		),
		{seed: 44, numRuns: 200},
	);
});
