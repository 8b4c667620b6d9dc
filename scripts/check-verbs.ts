/**
 * Checks that exported functions begin with a verb listed in docs/VERBS.md;
 * part of the lint step.
 */
import process from 'node:process';
import {findVerbProblems} from './find-verb-problems.js';
import {readSources} from './read-sources.js';
import {readTable} from './read-table.js';

async function readVerbs(heading: string): Promise<readonly string[]> {
	const rows = await readTable('VERBS.md', heading);
	return rows.map(([verb = '']) => verb);
}

const publicVerbs = await readVerbs('Verb');
const internalVerbs = await readVerbs('Internalverb');
const folders = ['src', 'harness', 'fakes', 'faults', 'bench', 'demo'];
const sources = await readSources([...folders, 'scripts']);
const problems = sources.flatMap(({file, text}) => {
	const isPublic = file.startsWith('src/') && !file.includes('/_lib/');
	const verbs = isPublic ? publicVerbs : [...publicVerbs, ...internalVerbs];
	return findVerbProblems(file, text, new Set(verbs));
});
for (const problem of problems) {
	console.error(problem);
}

console.log(`verbs: ${sources.length} files, ${problems.length} problems`);
process.exitCode = problems.length > 0 ? 1 : 0;
