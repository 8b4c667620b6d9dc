import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

const folder = 'bench/measurements';

/**
 * Writes a measurement below the working directory.
 *
 * @param name - name of the file without its ending
 * @param value - the measurement, of plain data
 * @example
 * await writeMeasurement('config', {context, phases});
 */
export async function writeMeasurement(
	name: string,
	value: unknown,
): Promise<void> {
	const file = path.join(process.cwd(), folder, `${name}.json`);
	await mkdir(path.dirname(file), {recursive: true});
	await writeFile(file, `${JSON.stringify(value, undefined, '\t')}\n`);
	console.log(`written: ${path.join(folder, `${name}.json`)}`);
}
