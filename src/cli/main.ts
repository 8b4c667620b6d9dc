#!/usr/bin/env -S node --max-semi-space-size=2
import process from 'node:process';
import {settingsFileVariable} from '../../platform/wire-names.js';

function ignoreSignal(): void {
	// No reload is needed: the settings are read after the program has loaded.
}

if (process.env[settingsFileVariable] !== undefined) {
	// Without a listener the signal would terminate the process while it is loading.
	process.on('SIGHUP', ignoreSignal);
}

const {createTerminal} = await import('./create-terminal.js');
const {runCommand} = await import('./run-command.js');
process.exitCode = await runCommand(process.argv.slice(2), createTerminal());
