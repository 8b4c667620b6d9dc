import * as z from 'zod';
import {decodeList} from '../../protocol/decode-list.js';
import {decodeValue} from '../../protocol/decode-value.js';
import {
	clientLimitsSchema,
	documentProblemSchema,
	documentServiceSchema,
	type DocumentChanges,
	type DocumentProblem,
} from '../../protocol/routing-document.js';
import {listEntries} from './list-entries.js';

/** Parts of a document or of changes, as received. */
export type EncodedParts = {
	readonly services?: unknown;
	readonly limits?: unknown;
	readonly problems?: unknown;
};

type Parts = Pick<DocumentChanges, 'services' | 'limits' | 'problems'>;

const serviceSchema = z.tuple([z.string(), documentServiceSchema]);
const nameSchema = z.tuple([z.string(), z.unknown()]);

/** Decodes services, limits and problems; what cannot be read is left out and added to the problems. */
export function decodeDocumentParts(
	encoded: EncodedParts,
	found: readonly DocumentProblem[] = [],
): Parts {
	const problems: DocumentProblem[] = [];
	const services = decodeList(listEntries(encoded.services), {
		schema: serviceSchema,
		place: 'services',
		maxLength: Infinity,
		decodeEntry(entry, place) {
			const [name] = nameSchema.parse(entry);
			const {unreadable} = decodeValue(serviceSchema, entry, place);
			const {reason} = unreadable[0]!;
			problems.push({kind: 'left-out', part: 'service', name, reason});
			return {value: undefined, unreadable: []};
		},
	});
	const limits = decodeValue(
		clientLimitsSchema.optional(),
		encoded.limits,
		'limits',
	);
	const known = decodeList(encoded.problems ?? [], {
		schema: documentProblemSchema,
		place: 'problems',
		maxLength: Infinity,
	});
	for (const {place, reason} of [...services.unreadable, ...known.unreadable]) {
		problems.push({kind: 'left-out', part: 'resource', name: place, reason});
	}

	for (const {place, reason} of limits.unreadable) {
		problems.push({kind: 'left-out', part: 'limits', name: place, reason});
	}

	const all = [...known.value, ...found, ...problems];
	return {
		services: Object.fromEntries(services.value),
		...(limits.value && {limits: limits.value}),
		...(all.length > 0 && {problems: all}),
	};
}
