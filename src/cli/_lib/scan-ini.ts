import {unsafe} from 'ini';

/** One line of an INI file that is neither empty nor a comment. */
export type IniLine =
	| {readonly kind: 'section'; readonly line: number; readonly section: string}
	| {
			readonly kind: 'setting';
			readonly line: number;
			/** Section that the line is in; absent before the first one. */
			readonly section: string | undefined;
			readonly key: string;
			readonly value: string;
	  }
	| {readonly kind: 'unreadable'; readonly line: number; readonly text: string};

/**
 * Scans an INI file line by line, with the values decoded as `ini` does.
 *
 * `ini` itself merges repeated sections and keys and accepts lines that are
 * neither a section nor a setting; the returned lines keep all of these.
 *
 * @param text - text of the file
 * @returns its lines, numbered from 1
 */
export function scanIni(text: string): readonly IniLine[] {
	const lines: IniLine[] = [];
	let section: string | undefined;
	for (const [index, raw] of text.split(/\r?\n/v).entries()) {
		const line = index + 1;
		const trimmed = raw.trim();
		if (/^(?:$|[;#])/v.test(trimmed)) {
			continue;
		}

		const header = /^\[(?<name>[^\]]+)\]$/v.exec(trimmed);
		const equals = trimmed.indexOf('=');
		if (header) {
			section = header.groups!.name!.trim();
			lines.push({kind: 'section', line, section});
		} else if (trimmed.startsWith('[') || equals < 1) {
			lines.push({kind: 'unreadable', line, text: trimmed});
		} else {
			const key = trimmed.slice(0, equals).trim();
			const value = String(unsafe(trimmed.slice(equals + 1)));
			lines.push({kind: 'setting', line, section, key, value});
		}
	}

	return lines;
}
