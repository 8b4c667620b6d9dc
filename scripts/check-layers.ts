/**
 * Checks that imports in src/ go downward only and that there are no index
 * files; part of the lint step.
 */
import process from 'node:process';
import {findLayerProblems} from './find-layer-problems.js';
import {readSources} from './read-sources.js';

const sources = await readSources(['src', 'platform']);
const problems = sources.flatMap(({file, text}) =>
	findLayerProblems(file, text),
);
for (const problem of problems) {
	console.error(problem);
}

console.log(`layers: ${sources.length} files, ${problems.length} problems`);
process.exitCode = problems.length > 0 ? 1 : 0;
