MODULES := coord server platform cmd bench tools
BIN := bin

.PHONY: build test race lint bench capacity demo fleet fleet-stop clean

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/hemlockvaled ./cmd/hemlockctl

# The tests of misbehaving callers bound the memory and the descriptors of processes, so they run
# apart from the load of the others.
test:
	.ci/test $$(go list $(addsuffix /...,$(addprefix ./,$(MODULES))) | grep -v /platform/abuse)
	.ci/test ./platform/abuse

race:
	.ci/test -race ./coord/... ./server/...

lint:
	@files=$$(gofmt -l $(MODULES)); if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi
	go vet $(addsuffix /...,$(addprefix ./,$(MODULES)))
	go tool staticcheck $(addsuffix /...,$(addprefix ./,$(MODULES)))

clean:
	rm -rf $(BIN) var

demo: build
	$(BIN)/hemlockvaled dev --demo

fleet: build
	scripts/fleet.sh start

fleet-stop:
	scripts/fleet.sh stop

# Runs the policy benchmark; exits non-zero if a bound in bench/experiment/bounds.json is
# not met.
bench:
	GOMAXPROCS=4 go run ./bench/cmd/policybench --plots docs/img

# Measures the resource usage of fleets of separate processes, from which some of the
# slopes in docs/CAPACITY.md are calculated; takes about four minutes.
capacity:
	go test ./cmd/e2e -run '^$$' -bench IdleFleet -benchtime 1x
