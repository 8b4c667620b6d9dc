import {visit, type JSONPath} from 'jsonc-parser';

/**
 * Finds keys that an object of a JSON text has more than once.
 *
 * `JSON.parse` keeps the last of them without a word.
 *
 * @param text - valid JSON
 * @returns the path of each repetition
 * @example
 * findDuplicateKeys('{"a": 1, "a": 2}'); // [['a']]
 */
export function findDuplicateKeys(text: string): readonly JSONPath[] {
	const open: Array<Set<string>> = [];
	const duplicates: JSONPath[] = [];
	visit(text, {
		onObjectBegin() {
			open.push(new Set());
		},
		onObjectProperty(...parameters) {
			const key = parameters[0];
			const readPath = parameters[5];
			const keys = open.at(-1)!;
			if (keys.has(key)) {
				duplicates.push([...readPath(), key]);
			}

			keys.add(key);
		},
		onObjectEnd() {
			open.pop();
		},
	});
	return duplicates;
}
