const config = [
	{ignores: ['dist/**', 'node_modules/**', 'target/**', 'journal/**']},
	{
		prettier: 'compat',
		rules: {
			// Tasks and retries await one step after another on purpose.
			'no-await-in-loop': 'off',
		},
	},
	{
		// These files hold the names that the platform puts on the wire.
		files: ['platform/**', 'fakes/platform-*.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// The runner of node:test awaits the tests that a file declares.
			'@typescript-eslint/no-floating-promises': [
				'error',
				{
					allowForKnownSafeCalls: [
						{
							from: 'package',
							name: ['test', 'suite', 'describe', 'it'],
							package: 'node:test',
						},
					],
				},
			],
		},
	},
];

export default config;
