import {readUsedMemory} from '../../harness/_lib/read-used-memory.js';
import {recordSchema, type Member} from '../../src/protocol/member.js';
import {decodeMember} from '../../src/state/decode-member.js';
import {encodeMember} from '../../src/state/encode-member.js';
import {putMembers} from '../../src/state/put-members.js';

function createRecordText(index: number): string {
	const name = `dc-${index % 18}-host-${index}`;
	const member: Member = {
		name,
		dataCentre: `dc-${index % 18}`,
		address: `10.${index % 200}.${index % 250}.1:8081`,
		incarnation: 1_700_000_000_000 + index,
		sequence: 4,
		state: 'alive',
		upstreams: [
			{
				id: `${name}-pricebook`,
				service: `team-${index % 40}/service-${index % 1000}`,
				slots: 6,
				state: 'ready',
				since: 0,
			},
		],
	};
	return JSON.stringify(encodeMember(member, 1000));
}

/**
 * Measures the heap that known members take, each read from its own JSON text
 * as a received record is.
 *
 * @param members - number of members
 * @returns bytes for each member, and bytes of one record as sent
 * @example
 * measureMemberMemory(1000).bytesPerMember;
 */
export function measureMemberMemory(members: number): {
	readonly bytesPerMember: number;
	readonly recordBytes: number;
} {
	const texts = Array.from({length: members}, (_, index) =>
		createRecordText(index),
	);
	const before = readUsedMemory().heapBytes;
	const table = putMembers(
		new Map(),
		texts.map((text) =>
			decodeMember(recordSchema.parse(JSON.parse(text)), 1000),
		),
	);
	const after = readUsedMemory().heapBytes;
	const bytes = texts.reduce((sum, text) => sum + text.length, 0);
	return {
		bytesPerMember: table.size > 0 ? (after - before) / members : 0,
		recordBytes: bytes / members,
	};
}
