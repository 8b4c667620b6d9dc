import path from 'node:path';
import ts from 'typescript';

/** Layers that each layer may import, its own included. */
const allowedLayers: Readonly<Record<string, readonly string[]>> = {
	protocol: ['protocol'],
	state: ['state', 'protocol'],
	coordination: ['coordination', 'state', 'protocol'],
	transport: ['transport', 'coordination', 'state', 'protocol'],
	// The adapter to the users' platform; the command line joins it to the tasks.
	platform: ['platform', 'transport', 'coordination', 'state', 'protocol'],
	cli: ['cli', 'platform', 'transport', 'coordination', 'state', 'protocol'],
};

function readLayer(file: string): string {
	const [root = '', layer = ''] = file.split('/');
	return root === 'src' ? layer : root;
}

/**
 * Finds imports that do not go downward, and index files.
 *
 * @param file - path of a file in src/, relative to the root
 * @param text - source text of the file
 * @returns one line for each problem
 * @example
 * findLayerProblems('src/state/a.ts', "import '../transport/b.js';");
 */
export function findLayerProblems(
	file: string,
	text: string,
): readonly string[] {
	const layer = readLayer(file);
	const allowed = allowedLayers[layer];
	const problems = ts
		.preProcessFile(text)
		.importedFiles.filter(({fileName}) => fileName.startsWith('.'))
		.map(({fileName}) => path.posix.join(path.posix.dirname(file), fileName))
		.filter((target) => !allowed?.includes(readLayer(target)))
		.map((target) => `${file}: imports ${target}, which is above ${layer}`);
	const isIndex = path.posix.basename(file).startsWith('index.');
	return isIndex ? [...problems, `${file}: is an index file`] : problems;
}
