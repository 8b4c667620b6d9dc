import {createHash} from 'node:crypto';

/** The largest prime below 2^26, so that a product of two hashes is exact. */
const prime = 67_108_859;
const hashBytes = 6;
const maxCachedNames = 10_000;
const hashes = new Map<string, number>();

/** Hashes a name to a number from 1 up to, but not including, the prime. */
function computeNameHash(name: string): number {
	const known = hashes.get(name);
	if (known !== undefined) {
		return known;
	}

	const digest = createHash('sha256').update(name).digest();
	const hash = (digest.readUIntBE(0, hashBytes) % (prime - 1)) + 1;
	if (hashes.size >= maxCachedNames) {
		hashes.clear();
	}

	hashes.set(name, hash);
	return hash;
}

/**
 * Computes a rendezvous-hashing weight. Unlike `computeWeight` it is cheap
 * enough for all pairs of nodes and tenants with each change of the members.
 *
 * @param name - the name to hash
 * @param purpose - what the weight is used for
 * @returns the weight, an integer; different names may have the same
 */
export function computeRendezvousWeight(name: string, purpose: string): number {
	return (computeNameHash(name) * computeNameHash(purpose)) % prime;
}
