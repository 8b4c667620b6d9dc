import {visit, type JSONPath} from 'jsonc-parser';

/**
 * Finds duplicate keys in the objects of a JSON text.
 *
 * `JSON.parse` silently keeps the last of them.
 *
 * @param text - valid JSON
 * @returns the path of each repeated occurrence of a key
 * @example
 * findDuplicateKeys('{"a": 1, "a": 2}'); // [['a']]
 */
export function findDuplicateKeys(text: string): readonly JSONPath[] {
	const keyStack: Array<Set<string>> = [];
	const duplicates: JSONPath[] = [];
	visit(text, {
		onObjectBegin() {
			keyStack.push(new Set());
		},
		onObjectProperty(...parameters) {
			const key = parameters[0];
			const readPath = parameters[5];
			const keys = keyStack.at(-1)!;
			if (keys.has(key)) {
				duplicates.push([...readPath(), key]);
			}

			keys.add(key);
		},
		onObjectEnd() {
			keyStack.pop();
		},
	});
	return duplicates;
}
