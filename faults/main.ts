/**
 * Runs and prints the fault matrix: `npm run faults -- [AREA]`. Exits with 1 if
 * a case fails.
 */
import process from 'node:process';
import type {FaultCase} from './fault-case.js';
import {listConfigCases} from './list-config-cases.js';
import {listMembersCases} from './list-members-cases.js';
import {listRequestsCases} from './list-requests-cases.js';
import {formatFaultMatrix} from './format-fault-matrix.js';
import {runFaultCases} from './run-fault-cases.js';

const areas: Readonly<Record<string, () => Promise<readonly FaultCase[]>>> = {
	config: async () => listConfigCases(),
	requests: async () => listRequestsCases(),
	members: async () => listMembersCases(),
};

const wanted = process.argv[2];
let failed = 0;
for (const [area, listCases] of Object.entries(areas)) {
	if (!wanted || wanted === area) {
		const results = runFaultCases(await listCases());
		console.log(formatFaultMatrix(results));
		failed += results.filter(({violations}) => violations.length > 0).length;
	}
}

console.log(`faults: ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
