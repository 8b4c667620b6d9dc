/**
 * Bundles the program into target/, as the users' platform runs it: one entry
 * file, and files beside it for what is loaded only when needed.
 */
import {build} from 'esbuild';

await build({
	entryPoints: {boragehitch: 'src/cli/main.ts'},
	outdir: 'target',
	// eslint-disable-next-line @typescript-eslint/naming-convention
	outExtension: {'.js': '.mjs'},
	bundle: true,
	splitting: true,
	minify: true,
	keepNames: false,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	mainFields: ['module', 'main'],
	banner: {
		// Some libraries are CommonJS and load modules of Node by require.
		js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
	},
});
