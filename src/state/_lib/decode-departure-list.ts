import {maxUpstreamsPerHost} from '../../protocol/constants.js';
import {decodeList} from '../../protocol/decode-list.js';
import type {Decoded} from '../../protocol/decode-value.js';
import {departureSchema, type DepartureRecord} from '../../protocol/member.js';

/** Decodes a list of upstreams that have left their host; an absent one, as of earlier versions, is empty. */
export function decodeDepartureList(
	list: unknown,
	place: string,
): Decoded<readonly DepartureRecord[]> {
	return list === undefined
		? {value: [], unreadable: []}
		: decodeList(list, {
				schema: departureSchema,
				place,
				maxLength: maxUpstreamsPerHost,
			});
}
