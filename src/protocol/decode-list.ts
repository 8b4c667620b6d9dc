import * as z from 'zod';
import {
	decodeValue,
	type Decoded,
	type UnreadablePart,
} from './decode-value.js';

/** Options of `decodeList`. */
export type ListOptions<Value> = {
	/** Schema of an entry. */
	readonly schema: z.ZodType<Value>;
	/** Where the list is in its message. */
	readonly place: string;
	/** Number of entries from which the others are left out, unread. */
	readonly maxLength: number;
	/** Decodes an entry that does not have the schema; returns undefined when nothing of it can be used, as it always does when absent. */
	readonly decodeEntry?: (
		value: unknown,
		place: string,
	) => Decoded<Value | undefined>;
};

const maxLabelLength = 64;

const labelSchema = z.union([
	z.object({name: z.string()}).transform(({name}) => name),
	z.object({id: z.string()}).transform(({id}) => id),
	z.object({fingerprint: z.string()}).transform(({fingerprint}) => fingerprint),
	z
		.tuple([z.string()])
		.rest(z.unknown())
		.transform(([first]) => first),
]);

/** Returns the name of an entry, its identifier, or its index when it has neither. */
function formatLabel(entry: unknown, index: number): string {
	const label = labelSchema.safeParse(entry).data ?? '';
	return label === '' ? String(index) : label.slice(0, maxLabelLength);
}

/**
 * Decodes a list that another process has written, entry by entry: an entry that
 * cannot be read costs itself only.
 *
 * @param list - the list as received
 * @param options - see `ListOptions`
 * @returns the entries that can be read, in order, and what cannot
 * @example
 * decodeList([1, 'a', 2], {schema: z.int(), place: 'sizes', maxLength: 8}).value; // [1, 2]
 */
export function decodeList<Value>(
	list: unknown,
	options: ListOptions<Value>,
): Decoded<readonly Value[]> {
	const {schema, place, maxLength} = options;
	const {
		decodeEntry = (value: unknown, entryPlace: string) =>
			decodeValue(schema, value, entryPlace),
	} = options;
	if (!Array.isArray(list)) {
		return {value: [], unreadable: [{place, reason: 'not a list'}]};
	}

	const items: readonly unknown[] = list;
	const entries: Value[] = [];
	const unreadable: UnreadablePart[] = [];
	const length = Math.min(items.length, maxLength);
	for (let index = 0; index < length; index++) {
		const entry = items[index];
		const parsed = schema.safeParse(entry);
		if (parsed.success) {
			entries.push(parsed.data);
			continue;
		}

		const label = formatLabel(entry, index);
		const decoded = decodeEntry(entry, `${place}[${label}]`);
		unreadable.push(...decoded.unreadable);
		if (decoded.value !== undefined) {
			entries.push(decoded.value);
		}
	}

	if (items.length > maxLength) {
		unreadable.push({place, reason: `more than ${maxLength} entries`});
	}

	return {value: entries, unreadable};
}
