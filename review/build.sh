#!/bin/sh
# Builds what the cases start beside the node: the stand-ins with the cases, in review/standins/target, and the full jar, for
# the fleet's members of case 3. Run once, after the build of the deploy file, with the package mirrors at hand.
set -e
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/standins/target"
javac -Xlint:all -d "$here/standins/target" "$here"/standins/src/ferngrade/review/*.java "$here"/[0-9]/*.java
cd "$here/.."
mvn -q -DskipTests -pl dist -am package
