#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../run-case.sh" "$folder" LongBodies
