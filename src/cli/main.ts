#!/usr/bin/env node
import process from 'node:process';
import {createTerminal} from './create-terminal.js';
import {runCommand} from './run-command.js';

process.exitCode = await runCommand(process.argv.slice(2), createTerminal());
