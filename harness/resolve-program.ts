import {fileURLToPath} from 'node:url';

/** Programs that a fleet, or a benchmark of it, consists of. */
export type Program = 'node' | 'platform' | 'upstream' | 'chain' | 'load';

const paths: Readonly<Record<Program, string>> = {
	node: 'src/cli/main.js',
	platform: 'fakes/platform-main.js',
	upstream: 'fakes/upstream-main.js',
	chain: 'bench/_lib/chain-main.js',
	load: 'bench/_lib/load-main.js',
};

/**
 * Resolves the compiled entry file of a program.
 *
 * Works from sources and from the build, which must exist.
 *
 * @param program - the program
 * @returns path of its entry file
 * @example
 * resolveProgram('node');
 */
export function resolveProgram(program: Program): string {
	const isSource = import.meta.url.endsWith('.ts');
	const base = isSource ? '../dist/' : '../';
	return fileURLToPath(new URL(`${base}${paths[program]}`, import.meta.url));
}
