# What a newcomer needs: make build, make test, make lint, EDGE_CONFIG=config.json make run

.PHONY: build test lint format run clean

# The program, and the archive of classes that makes its starts quick.
build:
	mvn -B -ntp -q -DskipTests package
	java deploy/Rehearsal.java target/cottonlock.jsa

# All tests and the lint, from nothing: what CI runs.
test:
	mvn -B -ntp clean verify

lint:
	mvn -B -ntp spotless:check checkstyle:check

# Rewrites the sources in the project's format.
format:
	mvn -B -ntp -q spotless:apply

# Serves until it gets SIGTERM (Ctrl-C).
run:
	exec java @deploy/jvm.options -jar target/cottonlock.jar serve

clean:
	mvn -B -ntp -q clean
