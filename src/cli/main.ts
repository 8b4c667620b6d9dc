#!/usr/bin/env -S node --max-semi-space-size=2
import process from 'node:process';
import {createTerminal} from './create-terminal.js';
import {runCommand} from './run-command.js';

process.exitCode = await runCommand(process.argv.slice(2), createTerminal());
