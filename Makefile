# What a newcomer needs: make build, make test, make lint, EDGE_CONFIG=config.json make run

.PHONY: build test lint run clean

# The program, and the archive of classes that makes its starts quick.
build:
	mvn -B -ntp -q -DskipTests package
	java deploy/Rehearsal.java target/cottonlock.jsa

# All tests and the lint, from nothing: what CI runs.
test:
	mvn -B -ntp clean verify

lint:
	mvn -B -ntp checkstyle:check

# Serves until it gets SIGTERM (Ctrl-C).
run:
	exec java @deploy/jvm.options -jar target/cottonlock.jar serve

clean:
	mvn -B -ntp -q clean
