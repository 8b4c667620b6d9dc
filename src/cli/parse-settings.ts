import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {listSettings} from '../protocol/list-settings.js';
import {settingsSchema, type Settings} from '../protocol/settings.js';
import {scanIni, type IniLine} from './_lib/scan-ini.js';

type SettingLine = Extract<IniLine, {kind: 'setting'}>;

type ProblemLocation = {
	readonly line?: number;
	readonly section?: string;
	readonly key?: string;
	readonly value?: string;
};

const descriptions = listSettings();

function joinNames(names: readonly string[]): string {
	return [...new Set(names)].join(', ');
}

function listKeys(section: string): string {
	return joinNames(
		descriptions.filter((item) => item.section === section).map(({key}) => key),
	);
}

function formatProblem(
	file: string,
	location: ProblemLocation,
	message: string,
): string {
	const {line, section, key, value} = location;
	const position = line === undefined ? file : `${file}:${line}`;
	const setting = [
		section === undefined ? '' : `[${section}]`,
		key ?? '',
		value === undefined ? '' : `= ${JSON.stringify(value)}`,
	].filter(Boolean);
	return setting.length > 0
		? `${position}: ${setting.join(' ')}: ${message}`
		: `${position}: ${message}`;
}

function findLineProblems(file: string, lines: readonly IniLine[]): string[] {
	const seen = new Map<string, number>();
	return lines.flatMap((item) => {
		if (item.kind === 'unreadable') {
			const shown = JSON.stringify(item.text);
			return formatProblem(
				file,
				item,
				`${shown} is neither [section] nor key = value`,
			);
		}

		const isSetting = item.kind === 'setting';
		if (isSetting && item.section === undefined) {
			return formatProblem(file, item, 'the key is outside any section');
		}

		const name = isSetting ? `${item.section}\n${item.key}` : item.section;
		const first = seen.get(name);
		seen.set(name, first ?? item.line);
		return first === undefined
			? []
			: formatProblem(file, item, `already given in line ${first}`);
	});
}

function groupBySection(
	lines: readonly IniLine[],
): Record<string, Record<string, string>> {
	const sections = new Map<string, Map<string, string>>();
	for (const item of lines) {
		if (item.kind === 'unreadable' || item.section === undefined) {
			continue;
		}

		const section = sections.get(item.section) ?? new Map<string, string>();
		sections.set(item.section, section);
		if (item.kind === 'setting') {
			section.set(item.key, item.value);
		}
	}

	return Object.fromEntries(
		[...sections].map(([name, keys]) => [name, Object.fromEntries(keys)]),
	);
}

function findLine(
	lines: readonly IniLine[],
	section: string,
	key: string,
): SettingLine | undefined {
	return lines.findLast(
		(item): item is SettingLine =>
			item.kind === 'setting' && item.section === section && item.key === key,
	);
}

function findSectionLine(
	lines: readonly IniLine[],
	section: string,
): ProblemLocation {
	const found = lines.find(
		(item) => item.kind === 'section' && item.section === section,
	);
	return {line: found?.line, section};
}

function formatIssue(
	file: string,
	lines: readonly IniLine[],
	issue: z.core.$ZodIssue,
): readonly string[] {
	const section = issue.path[0] === undefined ? '' : String(issue.path[0]);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map((name) =>
			section
				? formatProblem(
						file,
						findLine(lines, section, name) ?? {section, key: name},
						`unknown key; allowed: ${listKeys(section)}`,
					)
				: formatProblem(
						file,
						findSectionLine(lines, name),
						`unknown section; allowed: ${joinNames(descriptions.map((item) => item.section))}`,
					),
		);
	}

	if (issue.path.length < 2) {
		return [
			formatProblem(
				file,
				{section},
				`the section is missing; its keys: ${listKeys(section)}`,
			),
		];
	}

	const key = String(issue.path[1]);
	const line = findLine(lines, section, key);
	const allowed = descriptions.find(
		(item) => item.section === section && item.key === key,
	)?.allowed;
	const reason = line
		? issue.code === 'custom'
			? issue.message
			: 'not allowed'
		: issue.code === 'custom'
			? `missing: ${issue.message}`
			: 'missing';
	return [
		formatProblem(
			file,
			line ?? {section, key},
			`${reason}; allowed: ${allowed}`,
		),
	];
}

/**
 * Parses and checks the settings of a node.
 *
 * Reports all problems at once, each with file, line, section, key, value and
 * the allowed values. Unknown or repeated sections and keys, keys outside a
 * section, and lines that are neither a section nor a key are problems, too.
 *
 * @param file - name of the file, for the messages
 * @param text - text of the file
 * @returns the settings, or one line for each problem
 * @example
 * parseSettings('node.ini', '[node]').isErr(); // true
 */
export function parseSettings(
	file: string,
	text: string,
): Result<Settings, readonly string[]> {
	const lines = scanIni(text);
	const parsed = settingsSchema.safeParse(groupBySection(lines));
	const problems = [
		...findLineProblems(file, lines),
		...(parsed.error?.issues ?? []).flatMap((issue) =>
			formatIssue(file, lines, issue),
		),
	];
	return parsed.success && problems.length === 0
		? ok(parsed.data)
		: err([...new Set(problems)]);
}
