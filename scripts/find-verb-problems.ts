import ts from 'typescript';

function listExportedFunctions(source: ts.SourceFile): readonly string[] {
	return source.statements.flatMap((statement) => {
		if (ts.isFunctionDeclaration(statement)) {
			const isExported = statement.modifiers?.some(
				({kind}) => kind === ts.SyntaxKind.ExportKeyword,
			);
			return isExported && statement.name ? [statement.name.text] : [];
		}

		if (!ts.isVariableStatement(statement)) {
			return [];
		}

		const isExported = statement.modifiers?.some(
			({kind}) => kind === ts.SyntaxKind.ExportKeyword,
		);
		return statement.declarationList.declarations.flatMap(
			({name, initializer}) => {
				const isFunction =
					initializer !== undefined &&
					(ts.isArrowFunction(initializer) ||
						ts.isFunctionExpression(initializer));
				return isExported && isFunction ? [name.getText(source)] : [];
			},
		);
	});
}

/**
 * Finds exported functions whose names do not begin with an allowed verb.
 *
 * @param file - path of the file, for the messages
 * @param text - source text of the file
 * @param verbs - verbs that are allowed
 * @returns one line for each problem
 * @example
 * findVerbProblems('a.ts', 'export function route() {}', new Set(['match']));
 */
export function findVerbProblems(
	file: string,
	text: string,
	verbs: ReadonlySet<string>,
): readonly string[] {
	const source = ts.createSourceFile(file, text, ts.ScriptTarget.Latest, true);
	return listExportedFunctions(source)
		.filter((name) => !verbs.has(/^[a-z]*/v.exec(name)![0]))
		.map((name) => `${file}: ${name} begins with no verb of docs/VERBS.md`);
}
