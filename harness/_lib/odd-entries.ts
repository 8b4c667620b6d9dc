/**
 * Odd entries that another writer may leave among the objects of a store, as
 * JSON text, for tests.
 */

const depth = 100_000;

/** JSON text that is nested more deeply than a recursive reader can follow. */
export const deepText = `${'['.repeat(depth)}${']'.repeat(depth)}`;

/** An odd entry: its name for the test, and its text for the revision of its object. */
export type OddEntry = {
	readonly about: string;
	readonly format: (revision: number) => string;
};

/** Lists objects of which no metadata or only a part can be read, whatever their kind. */
export function listOddObjects(name: string, spec: string): OddEntry[] {
	const quoted = JSON.stringify(name);
	const formats: ReadonlyArray<readonly [string, OddEntry['format']]> = [
		[
			'a revision beyond the safe integers',
			() =>
				`{"metadata":{"name":${quoted},"revision":9007199254740993000},"spec":${spec}}`,
		],
		[
			'a revision that is no finite number',
			() => `{"metadata":{"name":${quoted},"revision":1e400},"spec":${spec}}`,
		],
		[
			'a revision of another type',
			() => `{"metadata":{"name":${quoted},"revision":"7"},"spec":${spec}}`,
		],
		['no revision', () => `{"metadata":{"name":${quoted}},"spec":${spec}}`],
		[
			'a deeply nested value',
			(revision) =>
				`{"metadata":{"name":${quoted},"revision":${revision}},"spec":${deepText}}`,
		],
		[
			'no value',
			(revision) => `{"metadata":{"name":${quoted},"revision":${revision}}}`,
		],
	];
	return formats.map(([about, format]) => ({about, format}));
}

const unnamedFormats: ReadonlyArray<readonly [string, OddEntry['format']]> = [
	['no metadata', () => '{"spec":{}}'],
	[
		'a name of another type',
		(revision) => `{"metadata":{"name":7,"revision":${revision}},"spec":{}}`,
	],
	[
		'an empty name',
		(revision) => `{"metadata":{"name":"","revision":${revision}},"spec":{}}`,
	],
	['a number in place of the object', () => '1e400'],
	['null in place of the object', () => 'null'],
	['an array in place of the object', () => deepText],
];

/** Objects whose names cannot be read, or that are none. */
export const unnamedEntries: readonly OddEntry[] = unnamedFormats.map(
	([about, format]) => ({about, format}),
);
