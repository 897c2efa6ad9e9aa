#!/bin/sh
# Runs the jar that is appended to this script.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${AUBURNHOIST_JAVA_OPTIONS:--Xmx192m -XX:+UseSerialGC} -cp "$0" org.auburnhoist.cli.Main "$@"
exit 127
