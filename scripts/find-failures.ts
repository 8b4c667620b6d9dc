/** Failed tests of a run, by whether they are listed. */
export type Failures = {
	readonly known: readonly string[];
	readonly unexpected: readonly string[];
};

/**
 * Finds the failed tests in the runner's output, told apart by a list of
 * known ones.
 *
 * @param output - output of the runner in TAP
 * @param list - one entry a line: test name, command and seed, what was seen,
 * issue; separated by ` | `
 * @returns names of the failed top-level tests
 * @example
 * findFailures('not ok 1 - a', 'a | npm test | hangs | 2').known; // ['a']
 */
export function findFailures(output: string, list: string): Failures {
	const listed = new Set(
		list.split('\n').map((line) => line.split(' | ', 1)[0]!.trim()),
	);
	const failed = [...output.matchAll(/^not ok \d+ - (?<name>.*)$/gmv)]
		.map(({groups}) => groups!.name!.replaceAll(String.raw`\#`, '#').trim())
		.filter((name) => !/ # (?:TODO|SKIP)/v.test(name));
	return {
		known: failed.filter((name) => listed.has(name)),
		unexpected: failed.filter((name) => !listed.has(name)),
	};
}
