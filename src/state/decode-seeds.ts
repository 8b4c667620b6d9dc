import * as z from 'zod';
import {addressSchema} from '../protocol/address.js';
import {
	maxClockDifferenceMs,
	maxMembersPerDataCentre,
	maxSeeds,
} from '../protocol/constants.js';

/** Addresses by which nodes find each other, as read from the object of a data centre. */
export type Seeds = {
	readonly addresses: readonly string[];
	/** Number of members of the data centre; 0 when unknown. */
	readonly memberCount: number;
	/** Wall-clock time at which the object was written, ms; 0 when unknown. */
	readonly writtenMs: number;
	/** Parts of the object that cannot be used. */
	readonly problems: readonly string[];
};

const seedsSchema = z.object({
	addresses: z.array(z.unknown()),
	memberCount: z.unknown().optional(),
	writtenMs: z.unknown().optional(),
});
const memberCountSchema = z.int().min(0).max(maxMembersPerDataCentre);

/**
 * Decodes the seeds object of a data centre. A part that cannot be used counts
 * as unknown.
 *
 * @param value - the object's value
 * @param wallMs - wall-clock time, ms
 * @returns the usable addresses, at most as many as a node writes, and what is
 *   known about them
 * @example
 * decodeSeeds({addresses: ['10.0.0.1:65536']}, Date.now()).addresses; // []
 */
export function decodeSeeds(value: unknown, wallMs: number): Seeds {
	const parsed = seedsSchema.safeParse(value);
	if (!parsed.success) {
		const problems = ['not an object with a list of addresses'];
		return {addresses: [], memberCount: 0, writtenMs: 0, problems};
	}

	const {addresses, memberCount, writtenMs} = parsed.data;
	const usable = addresses.filter(
		(address): address is string => addressSchema.safeParse(address).success,
	);
	const problems: string[] = [];
	const oddIndex = addresses.findIndex(
		(address) => !addressSchema.safeParse(address).success,
	);
	if (oddIndex !== -1) {
		problems.push(
			`addresses.${oddIndex}: not IP:PORT with a port from 1 to 65535 (${addresses.length - usable.length} of ${addresses.length})`,
		);
	}

	if (usable.length > maxSeeds) {
		problems.push(`addresses: ${usable.length}; at most ${maxSeeds} are used`);
	}

	const count = memberCountSchema.safeParse(memberCount);
	if (!count.success) {
		problems.push(
			`memberCount: not an integer from 0 to ${maxMembersPerDataCentre}`,
		);
	}

	const time = z
		.number()
		.min(0)
		.max(wallMs + maxClockDifferenceMs)
		.safeParse(writtenMs);
	if (!time.success) {
		problems.push('writtenMs: not a time in the past');
	}

	return {
		addresses: usable.slice(0, maxSeeds),
		memberCount: count.data ?? 0,
		writtenMs: time.data ?? 0,
		problems,
	};
}
