/* eslint-disable no-bitwise -- the hash uses bitwise operations */
const offsetBasis = 0x81_1c_9d_c5;
const prime = 0x01_00_01_93;

/**
 * Computes a 32-bit hash of a short text: FNV-1a (Fowler, Noll and Vo) with an
 * additional mixing step, so that similar texts may differ in every bit.
 *
 * @param text - the text
 * @returns an integer from 0 to 2 ** 32 - 1
 */
export function computeHash(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, prime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x04_5d_9f_3b);
	return (hash ^ (hash >>> 16)) >>> 0;
}
