import {computeSlopes, type Slope, type Slopes} from './compute-slopes.js';
import {
	callsPerServer,
	computeRoles,
	readSlope,
	combineFigures,
	type Figure,
} from './compute-roles.js';
import {designSize, serversPerDataCentre} from './design-size.js';
import type {Measurements, RunContextOfFile} from './measurement-files.js';

type Row = readonly string[];

const missing = 'not measured';

function formatNumber(value: number): string {
	return new Intl.NumberFormat('en', {maximumSignificantDigits: 3}).format(
		value,
	);
}

function formatFigure(figure: Figure, unit: string): string {
	if (figure.value === undefined) {
		return missing;
	}

	const mark = figure.isUnfitted ? ' (*)' : '';
	return `${formatNumber(figure.value)} ${unit}${mark}`;
}

function formatFactor(limit: number, {value}: Figure): string {
	return value === undefined ? missing : `${formatNumber(limit / value)} x`;
}

function formatTable(header: Row, rows: readonly Row[]): string {
	return [header, header.map(() => '---'), ...rows]
		.map((row) => `| ${row.join(' | ')} |`)
		.join('\n');
}

function formatRuns(measurements: Measurements): string {
	const rows = Object.entries(measurements).map(([name, file]) => {
		const context: RunContextOfFile | undefined = file?.context;
		if (!context) {
			return [`${name}.json`, missing, missing, missing, missing];
		}

		const {date, command, cores, memoryBytes, nodeVersion, loadAverage} =
			context;
		const gibibytes = formatNumber(memoryBytes / 2 ** 30);
		return [
			`${name}.json`,
			date,
			`\`${command}\``,
			`${cores} cores, ${gibibytes} GiB, Node ${nodeVersion}`,
			formatNumber(loadAverage[0] ?? 0),
		];
	});
	return formatTable(['file', 'date', 'command', 'machine', 'load'], rows);
}

function formatSlope({
	name,
	unit,
	against,
	points,
	line,
	at,
	value,
}: Slope): Row {
	const sizes = points.map(({x}) => formatNumber(x)).join(', ');
	if (points.length === 0) {
		return [name, unit, against, missing, missing, missing, missing];
	}

	if (!line || value === undefined) {
		const only = formatNumber(points[0]!.y);
		return [name, unit, against, sizes, `${only} at the one size`, '', '(*)'];
	}

	return [
		name,
		unit,
		against,
		sizes,
		`${formatNumber(line.intercept)} + ${formatNumber(line.slope)} x`,
		formatNumber(line.r2),
		`${formatNumber(value)} at ${formatNumber(at)}`,
	];
}

function formatSlopes(slopes: Slopes): string {
	return formatTable(
		['quantity', 'unit', 'against (x)', 'sizes', 'line', 'R2', 'read'],
		Object.values(slopes).map((slope) => formatSlope(slope)),
	);
}

function formatNodes(measurements: Measurements, slopes: Slopes): string {
	const {plain, bridge} = computeRoles(measurements, slopes);
	const rows = Object.entries({'plain node': plain, bridge}).map(
		([role, figures]) => [
			role,
			formatFigure(figures.messagesPerSecond, '/s'),
			formatFigure(figures.bytesPerSecond, 'B/s'),
			formatFactor(designSize.bytesPerSecond, figures.bytesPerSecond),
			formatFigure(figures.cpuMsPerSecond, 'ms/s'),
			formatFactor(designSize.cpuMsPerSecond, figures.cpuMsPerSecond),
			formatFigure(figures.memoryBytes, 'B'),
			formatFactor(designSize.memoryBytes, figures.memoryBytes),
		],
	);
	const root = readSlope(slopes.configBusiest);
	rows.push([
		'tree root',
		missing,
		formatFigure(root, 'B/s'),
		formatFactor(designSize.bytesPerSecond, root),
		missing,
		missing,
		formatFigure(plain.memoryBytes, 'B'),
		formatFactor(designSize.memoryBytes, plain.memoryBytes),
	]);
	return formatTable(
		[
			'role',
			'member messages',
			'control bytes',
			'left',
			'processor',
			'left',
			'memory',
			'left',
		],
		rows,
	);
}

function formatShared(measurements: Measurements, slopes: Slopes): string {
	const cpu = measurements.requests?.cpuMsPerRequest;
	const gateMs = cpu && callsPerServer * cpu.gateNode;
	const callerMs = cpu && callsPerServer * cpu.callerNode;
	const added = measurements.requests?.added
		.filter(({share}) => share === 0)
		.map(({depth, p99}) => `${formatNumber(p99)} ms at depth ${depth}`);
	const calls = readSlope(slopes.configCalls);
	const allCalls = combineFigures([[designSize.dataCentres, calls]]);
	const asFigure = (value: number | undefined): Figure => ({
		value,
		isUnfitted: false,
	});
	return formatTable(
		['role', 'quantity', 'value', 'limit', 'left'],
		[
			[
				'gate',
				'calls of an average server',
				`${formatNumber(callsPerServer)} /s`,
				'',
				'',
			],
			[
				'gate',
				'processor time of the gate for them',
				formatFigure(asFigure(gateMs), 'ms/s'),
				'1000 ms/s (one thread)',
				formatFactor(1000, asFigure(gateMs)),
			],
			[
				"caller's node",
				'processor time of its part of them',
				formatFigure(asFigure(callerMs), 'ms/s'),
				'1000 ms/s (one thread, with the gate)',
				formatFactor(1000, asFigure(callerMs)),
			],
			[
				"caller's node and gate",
				'added to a call for 99 in 100',
				added?.join(', ') ?? missing,
				`${designSize.addedMs} ms`,
				added ? 'missed' : missing,
			],
			[
				'committer',
				'accepted changes',
				`${formatNumber(designSize.configurationChangesPerSecond)} /s`,
				`${designSize.platformWritesPerSecond} writes/s`,
				formatFactor(
					designSize.platformWritesPerSecond,
					asFigure(designSize.configurationChangesPerSecond),
				),
			],
			[
				'platform',
				'calls of all data centres for configuration',
				formatFigure(allCalls, '/s'),
				`${designSize.platformReadsPerSecond} reads/s`,
				formatFactor(designSize.platformReadsPerSecond, allCalls),
			],
			[
				'platform',
				'reads of seeds by first members',
				`${formatNumber(designSize.dataCentres / 30)} /s`,
				`${designSize.platformReadsPerSecond} reads/s`,
				formatFactor(
					designSize.platformReadsPerSecond,
					asFigure(designSize.dataCentres / 30),
				),
			],
		],
	);
}

function formatFailures(measurements: Measurements, slopes: Slopes): string {
	const changeBytes = readSlope(slopes.changeBytes);
	const changes = measurements.members?.changesPerSecond ?? 0;
	const day = combineFigures([[changes, changeBytes]]);
	const rack = combineFigures([
		[designSize.assumedServersPerRack, changeBytes],
	]);
	const flags = combineFigures([
		[3 * (designSize.dataCentres - 1), changeBytes],
	]);
	const recordBytes = measurements.members?.memory.at(-1)?.recordBytes ?? 0;
	const changedAnHour =
		(designSize.restartsPerDay + designSize.failuresPerDay) / 24;
	return formatTable(
		['event', 'quantity', 'value'],
		[
			[
				'64 failures and 2,900 restarts a day',
				'member bytes of each node for them',
				formatFigure(day, 'B/s'),
			],
			[
				`a rack (${designSize.assumedServersPerRack} servers assumed)`,
				'bytes of each node until all know',
				formatFigure(rack, 'B'),
			],
			[
				'a rack',
				'death known by all',
				formatFigure(readSlope(slopes.deathMs), 'ms'),
			],
			[
				'a data centre goes',
				'bytes of each node for the flags of bridges',
				formatFigure(flags, 'B'),
			],
			[
				'its return (four fifths of it)',
				'until views are complete',
				formatFigure(readSlope(slopes.herdMs), 'ms'),
			],
			[
				'its return',
				'peak bytes of each node of it',
				formatFigure(readSlope(slopes.herdBytes), 'B/s'),
			],
			[
				'its return',
				'peak platform calls',
				formatFigure(readSlope(slopes.herdCalls), '/s'),
			],
			[
				'regions cut for an hour',
				'members that changed meanwhile',
				formatNumber(changedAnHour),
			],
			[
				'regions cut for an hour',
				'bytes of their records, sent once to each node',
				`${formatNumber(changedAnHour * recordBytes)} B`,
			],
		],
	);
}

/**
 * Formats the tables of the capacity page from the measurement files.
 *
 * @param measurements - the measurement files
 * @returns Markdown tables by the names of their markers
 * @example
 * formatCapacity(measurements).get('slopes');
 */
export function formatCapacity(
	measurements: Measurements,
): ReadonlyMap<string, string> {
	const slopes = computeSlopes(measurements);
	const {headerBytes} = measurements.members ?? {};
	const perServer = [
		`Members of a data centre: ${formatNumber(serversPerDataCentre)}.`,
		`Headers of a call between nodes and its answer: ${headerBytes === undefined ? missing : `${formatNumber(headerBytes)} B`}.`,
	].join(' ');
	return new Map([
		['runs', formatRuns(measurements)],
		['slopes', `${perServer}\n\n${formatSlopes(slopes)}`],
		['nodes', formatNodes(measurements, slopes)],
		['shared', formatShared(measurements, slopes)],
		['failures', formatFailures(measurements, slopes)],
	]);
}
