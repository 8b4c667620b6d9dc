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
