import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {access} from 'node:fs/promises';

/** Program of a node as the platform runs it. */
const targetFile = 'target/boragehitch.mjs';

/**
 * Finds the program of a node, and builds it when no other one is named.
 *
 * @param file - another program
 * @returns its file, which exists
 * @throws when it does not, or cannot be built
 * @example
 * await buildTarget(undefined); // 'target/boragehitch.mjs'
 */
export async function buildTarget(file: string | undefined): Promise<string> {
	if (file === undefined) {
		const child = spawn('npm', ['run', '-s', 'build:target'], {
			stdio: ['ignore', 'ignore', 'inherit'],
		});
		await once(child, 'exit');
		if (child.exitCode !== 0) {
			throw new Error('npm run build:target has failed');
		}
	}

	const found = file ?? targetFile;
	await access(found);
	return found;
}
