import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import type {Problem} from './configuration.js';
import {maxManifestBytes} from './constants.js';
import {findDuplicateKeys} from './find-duplicate-keys.js';
import {manifestSchema, type Manifest} from './manifest.js';

function createProblem(place: string, message: string): Problem {
	return {code: 'schema', place, message};
}

function formatPlace(path: readonly PropertyKey[]): string {
	return path.length > 0 ? path.map(String).join('.') : 'manifest';
}

/**
 * Parses a manifest and checks its size, JSON syntax, duplicate keys and schema.
 *
 * @param text - the manifest as JSON
 * @returns the manifest with defaults filled in, or all problems found
 * @example
 * parseManifest('{"team": "kitchens", "replaces": 0}').isOk(); // true
 */
export function parseManifest(
	text: string,
): Result<Manifest, readonly Problem[]> {
	const size = Buffer.byteLength(text);
	if (size > maxManifestBytes) {
		return err([
			createProblem(
				'manifest',
				`${size} bytes; at most ${maxManifestBytes} are allowed`,
			),
		]);
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return err([createProblem('manifest', `not JSON: ${reason}`)]);
	}

	const duplicates = findDuplicateKeys(text).map((path) =>
		createProblem(formatPlace(path), 'the key is given twice'),
	);
	const parsed = manifestSchema.safeParse(value);
	const problems = (parsed.error?.issues ?? []).map((issue) =>
		createProblem(formatPlace(issue.path), issue.message),
	);
	return parsed.success && duplicates.length === 0
		? ok(parsed.data)
		: err([...duplicates, ...problems]);
}
