import {parseArgs} from 'node:util';
import {measureExchangeHeaders} from './_lib/measure-exchange-headers.js';
import {measureMemberMemory} from './_lib/measure-member-memory.js';
import {measureMembersBridge} from './_lib/measure-members-bridge.js';
import {
	measureHerdReturn,
	measureMembersSize,
} from './_lib/measure-members-size.js';
import {measureRealMembers} from './_lib/measure-real-members.js';
import {readRunContext} from './_lib/read-machine.js';
import {writeMeasurement} from './_lib/write-measurement.js';

const seed = 1;
const fleetMembers = 22_000;
const restartsPerDay = 2964;
const changesPerRestart = 4;
const secondsPerDay = 86_400;

function parseSizes(text: string): number[] {
	return text.split(',').map(Number);
}

/**
 * Measures members: `npm run bench -- members [--members 50,200,1000]
 * [--herds 50,200] [--real 12]`.
 *
 * Sizes and herds run in this process on the scheduler, with the header bytes
 * that were measured on a local connection; only `real` are processes.
 *
 * @param argv - arguments of the command
 * @example
 * await benchMembers(['--members', '50']);
 */
export async function benchMembers(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {
			members: {type: 'string', default: '50,200,1000'},
			herds: {type: 'string', default: '50,200'},
			real: {type: 'string', default: '12'},
		},
	});
	const command = ['npm run bench -- members', ...argv].join(' ');
	const context = readRunContext(command, seed);
	const headerBytes = await measureExchangeHeaders();
	const memory = [1000, 5000, fleetMembers].map((members) => ({
		members,
		...measureMemberMemory(members),
	}));
	const changesPerSecond = (restartsPerDay * changesPerRestart) / secondsPerDay;
	const sizes = [];
	for (const members of parseSizes(values.members)) {
		const size = measureMembersSize(members, headerBytes, seed);
		const churnBytesPerSecond =
			size.quietBytesPerSecond + changesPerSecond * size.bytesPerChange;
		const {bytesPerMember} = memory.at(-1)!;
		sizes.push({...size, churnBytesPerSecond, bytesPerMember});
		console.log(JSON.stringify(sizes.at(-1)));
	}

	const bridges = [3, 9, 18].map((dataCentres) =>
		measureMembersBridge(dataCentres, headerBytes, seed),
	);
	console.log(JSON.stringify({bridges}));
	const herds = parseSizes(values.herds).map((members) =>
		measureHerdReturn(members, headerBytes, seed),
	);
	console.log(JSON.stringify({herds}));
	const realCount = Number(values.real);
	const real = realCount > 0 ? [await measureRealMembers(realCount)] : [];
	console.log(JSON.stringify({real}));
	const {loadAverage} = readRunContext(command, seed);
	await writeMeasurement('members', {
		context: {...context, loadAverageAfter: loadAverage},
		bench: 'members',
		headerBytes,
		changesPerSecond,
		sizes,
		bridges,
		herds,
		memory,
		real,
	});
	console.log(JSON.stringify({bench: 'members', sizes}));
}
