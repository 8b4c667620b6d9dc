import {createHash} from 'node:crypto';

/**
 * Computes the rendezvous-hashing weight of a name (Thaler and Ravishankar,
 * 1998), as a hexadecimal string that compares like the number.
 *
 * @param name - the name to weigh
 * @param purpose - what the weight is for; other purposes give other orders
 * @returns the weight
 */
export function computeWeight(name: string, purpose: string): string {
	return createHash('sha256')
		.update(`${purpose}\n${name}`)
		.digest('hex')
		.slice(0, 16);
}
