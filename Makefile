# Where `make run` finds its configuration, and where it listens.
CONFIG ?= deploy/example.json
LISTEN ?= 127.0.0.1:4100

.PHONY: build test lint run demo demo-fleet bench fuzz explore schema expect show-budgets show-expect show-owner show-failover show-state show-scale soak-fleet soak-list soak-lives

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	go vet ./...
	.ci/lint

# The schema of the operators' file, from its Go types.
schema:
	go run ./internal/operator/schema/write

run: build
	BALANCER_NAME=local BALANCER_LISTEN=$(LISTEN) BALANCER_CONFIG=$(CONFIG) bin/dunereach

# Ten seconds on each parser; what one finds is written to its testdata and stays a test.
fuzz:
	go test ./internal/frontend -fuzz FuzzFeed -fuzztime 10s
	go test ./internal/lineproto -fuzz FuzzFeed -fuzztime 10s
	go test ./internal/discovery -fuzz FuzzAnswer -fuzztime 10s
	go test ./internal/statement -fuzz FuzzGroup -fuzztime 10s
	go test ./fleet/registry -fuzz FuzzParse -fuzztime 10s
	go test ./fleet/registry -fuzz FuzzRestore -fuzztime 10s
	go test ./internal/state -fuzz FuzzBody -fuzztime 10s

# A router with fakes of all it talks to, for ten seconds.
demo: build
	bin/dunedemo

# Cost of decisions, and of requests from client to server and back.
bench:
	go test -run XXX -bench . -benchmem ./admission ./cmd/dunereach

# Properties on other cases than the tests': what one finds is printed with the seed that finds it again.
explore:
	go test ./fairshare ./emulator/engine ./waittime -count=1 -rapid.seed=0 -rapid.checks=20000
	go run ./cmd/duneshow fleet-explore 5000000 10000 3600
	go run ./cmd/duneshow zone-days 0 10000

# The example deployment's expectations.
expect: build
	bin/dunereach expect --config $(CONFIG) --operator deploy/operator.json

# Expectations: time, what broken configurations are noticed, memory.
show-expect:
	go run ./cmd/duneshow expect

# Team budgets and reported waits, on virtual time; fails where a figure falls short.
show-budgets:
	go run ./cmd/duneshow budgets

# Three coordinators and four routers: an owner is killed, and who takes over when.
demo-fleet: build
	bin/dunedemo fleet

# One owner at a time, over processes, on virtual time and by walking all states.
show-owner: build
	bin/duneshow owner

# Failover between zones, by shares on virtual time and over processes.
show-failover: build
	bin/duneshow failover

# What survives a restart: kills of a writing process, ages, costs, and what it is worth in the peak.
show-state: build
	bin/duneshow state

# How cost grows with the size of a fleet, up to the size that docs/CAPACITY.md is worked out for.
show-scale: build
	bin/duneshow scale

# Ten minutes of drawn faults of the list of servers; SEED draws others.
SEED ?= 1
soak-list:
	go test ./cmd/dunereach -count=1 -run TestListSoak -v -timeout 20m -soak 10m -soak-seed $(SEED)

# Lives of router processes under drawn faults, SEEDS seeds from SEED on; some seven seconds a seed.
SEEDS ?= 50
soak-lives:
	go test ./cmd/dunereach -count=1 -run TestLifeSoak -v -timeout 60m -life-seed $(SEED) -life-seeds $(SEEDS)

# Ten minutes of drawn faults over five coordinators and forty routers; its table is kept in docs/soak-fleet.md.
soak-fleet: build
	bin/duneshow soak-fleet 10
