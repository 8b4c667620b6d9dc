import {createHash} from 'node:crypto';

/**
 * Computes the rendezvous-hashing weight of a name (Thaler and Ravishankar,
 * 1998) as a hexadecimal string of fixed length, so that string order is
 * numeric order.
 *
 * @param name - the name to hash
 * @param purpose - what the weight is used for; each purpose gives an independent order
 * @returns the weight, 16 hexadecimal digits
 */
export function computeWeight(name: string, purpose: string): string {
	return createHash('sha256')
		.update(`${purpose}\n${name}`)
		.digest('hex')
		.slice(0, 16);
}
