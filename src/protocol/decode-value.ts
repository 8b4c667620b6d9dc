import type * as z from 'zod';

/** A part of a message that cannot be read and is left out. */
export type UnreadablePart = {
	readonly place: string;
	readonly reason: string;
};

/** What could be read of a value. */
export type Decoded<Value> = {
	readonly value: Value;
	readonly unreadable: readonly UnreadablePart[];
};

/** Number of issues of a value that are described, and the length of their description. */
const maxIssues = 3;
const maxReasonLength = 200;

function describeIssues({issues}: z.ZodError): string {
	return issues
		.slice(0, maxIssues)
		.map(({path, message}) => [path.join('.'), message].join(' '))
		.join('; ')
		.trim()
		.slice(0, maxReasonLength);
}

/**
 * Decodes a value that another process has written.
 *
 * @param schema - schema of the value
 * @param value - the value as received
 * @param place - where it is in its message
 * @returns the value, or undefined and what cannot be read
 * @example
 * decodeValue(z.int(), 1.5, 'slots').unreadable[0].place; // 'slots'
 */
export function decodeValue<Value>(
	schema: z.ZodType<Value>,
	value: unknown,
	place: string,
): Decoded<Value | undefined> {
	const parsed = schema.safeParse(value);
	return parsed.success
		? {value: parsed.data, unreadable: []}
		: {
				value: undefined,
				unreadable: [{place, reason: describeIssues(parsed.error)}],
			};
}
