import canonicalize from 'canonicalize';
import type {Configuration} from '../protocol/configuration.js';
import {snapshotChunkLength} from '../protocol/constants.js';
import {computeTextDigest} from './_lib/compute-text-digest.js';

/** One chunk of an encoded snapshot, with the digest of its text. */
export type SnapshotChunk = {readonly text: string; readonly digest: string};

/**
 * Encodes a configuration as chunks, each of which fits into a platform object.
 *
 * The encoding is deterministic, so that several writers of one version write the
 * same objects.
 *
 * @param configuration - the configuration
 * @param chunkLength - maximum number of characters in a chunk
 * @returns the chunks in order
 * @example
 * encodeSnapshot(createConfiguration()).length; // 1
 */
export function encodeSnapshot(
	configuration: Configuration,
	chunkLength = snapshotChunkLength,
): readonly SnapshotChunk[] {
	const text = canonicalize(configuration) ?? '';
	const chunks: SnapshotChunk[] = [];
	for (let start = 0; start < text.length; start += chunkLength) {
		const part = text.slice(start, start + chunkLength);
		chunks.push({text: part, digest: computeTextDigest(part)});
	}

	return chunks;
}
