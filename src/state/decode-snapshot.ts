import {err, ok, type Result} from 'neverthrow';
import type {
	Configuration,
	Problem,
	SnapshotHead,
} from '../protocol/configuration.js';
import {computeTextDigest} from './_lib/compute-text-digest.js';
import {validateConfiguration} from './validate-configuration.js';

function refuse(message: string): Result<Configuration, Problem> {
	return err({code: 'digest', place: 'snapshot', message});
}

/**
 * Decodes the chunks of a snapshot and validates the configuration in it.
 *
 * @param head - the head that refers to the snapshot
 * @param texts - texts of the chunks in order
 * @returns the configuration, or the problem for which the snapshot is refused
 * @example
 * decodeSnapshot(head, texts).isOk();
 */
export function decodeSnapshot(
	head: SnapshotHead,
	texts: readonly string[],
): Result<Configuration, Problem> {
	const isIntact =
		texts.length === head.chunks.length &&
		texts.every(
			(text, index) => computeTextDigest(text) === head.chunks[index],
		);
	if (!isIntact) {
		return refuse('a chunk does not have its digest');
	}

	let value: unknown;
	try {
		value = JSON.parse(texts.join(''));
	} catch {
		return refuse('the chunks are not JSON');
	}

	return validateConfiguration(value).andThen((configuration) =>
		configuration.version === head.version &&
		configuration.digest === head.digest
			? ok(configuration)
			: refuse('the snapshot is not the one that the head names'),
	);
}
