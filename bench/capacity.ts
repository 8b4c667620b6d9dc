/**
 * Recomputes the tables of docs/CAPACITY.md from the measurement files:
 * `npm run capacity [-- --check]`.
 */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {capacityPage, updateCapacityPage} from './_lib/update-capacity-page.js';

const {values} = parseArgs({
	options: {check: {type: 'boolean', default: false}},
});
const {current, expected} = await updateCapacityPage();
if (current === expected) {
	console.log('docs/CAPACITY.md agrees with bench/measurements');
} else if (values.check) {
	console.error('docs/CAPACITY.md is out of date: npm run capacity');
	process.exitCode = 1;
} else {
	await writeFile(capacityPage, expected);
	console.log('docs/CAPACITY.md written');
}
