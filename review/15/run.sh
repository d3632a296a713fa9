#!/usr/bin/env bash
exec "$(dirname "$0")/../lib-3/run.sh" hand-over "$(dirname "$0")"
