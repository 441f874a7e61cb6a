# Commands for developers; README.md explains them.

GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint
GINKGO = $(GO) tool -modfile=tools/go.mod ginkgo
SEED ?= 1
# Tests that fail for a known fault: a line "skip TEST" each in KNOWN-RED.txt.
KNOWN_RED = $(shell sed -n 's/^skip \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
export GOFLAGS += -buildvcs=false

.PHONY: bench build demo faults test format-check format lint vet

build:
	$(GO) build -o bin/comfreythread ./cmd/comfreythread

demo: build
	./bin/comfreythread demo $(DEMO)

# bench writes docs/MEASURES.md; BENCH=TEXT measures only what has the text in
# its name and writes nothing.
bench:
	$(GO) test ./internal/bench -count=1 -v -timeout 30m -parallel 4 -run TestMeasures $(if $(BENCH),-bench-only '$(BENCH)',-bench-report $(CURDIR)/docs)

# faults runs the fault matrix: all of it, or with CELL='FAULT/STEP' one cell.
# An empty FAULT or STEP stands for any; FAULT+FAULT is a pair. The pairs are
# drawn by SEED, which is another one for each run where none is given.
faults: SEED := $(if $(filter file,$(origin SEED)),$(shell date +%s),$(SEED))
faults:
	@echo "SEED=$(SEED)"
	$(GO) test ./internal/faults -count=1 -v -timeout 30m -parallel 4 -run TestMatrix -seed $(SEED) -cell '$(or $(CELL),all)' | grep -v '^ *\(---\|===\)'

# The specs of the tier and of the replicated log run in bubbles, which keep a
# process under the race detector to one processor, so that several processes
# share them.
test: format-check lint vet build
	$(GO) test -race -timeout 9m -skip '^(TestReplica|$(KNOWN_RED))$$' $$($(GO) list ./... | grep -v -e /internal/tier$$ -e /crowd$$)
	$(GINKGO) --race --procs=6 --seed=$(SEED) --timeout 9m --no-color ./internal/replica -- -test.run='^TestReplica$$'
	$(GINKGO) --race --procs=6 --seed=$(SEED) --timeout 9m --no-color ./internal/tier
	$(MAKE) crowds

.PHONY: crowds
# Runs crowds of misbehaving clients against real processes, one at a time and without the race detector, which would
# multiply the memory that these tests measure.
crowds:
	$(GO) test -count=1 -p 1 -parallel 1 -timeout 20m -v -skip '^($(KNOWN_RED))$$' ./internal/crowd ./platform/crowd

format-check:
	@unformatted=$$($(LINT) fmt --diff); if [ -n "$$unformatted" ]; then echo "$$unformatted"; echo "run make format"; exit 1; fi

format:
	$(LINT) fmt

lint:
	$(LINT) run ./...

vet:
	$(GO) vet ./...

.PHONY: capacity

# Measures the slopes that docs/CAPACITY.md rests on.
capacity:
	$(GO) run ./internal/capacity

CASES ?= 2000

.PHONY: replica-faults
replica-faults:
	@echo "seed $(SEED), $(CASES) cases"
	$(GO) test ./internal/replica -run TestCoreUnderFaults -timeout 60m -rapid.seed=$(SEED) -rapid.checks=$(CASES)

.PHONY: directory
# directory measures the ways of keeping the directory equal, for
# docs/design/directory.md. It takes about 6 GB of memory.
directory:
	$(GO) test ./internal/entry -count=1 -run 'TestMeasure(Directory|Mesh)' -measure-directory -measure-mesh -v -timeout 20m

MINUTES ?= 1
SEEDS ?= 1
JOBS ?= 1

.PHONY: soak
# Runs the real programs under faults. Each run has a new seed where none is given.
soak: SEED := $(if $(filter file,$(origin SEED)),$(shell date +%s),$(SEED))
soak: build
	$(GO) run ./internal/soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) --span $(MINUTES)m

OLD ?= 96531af
OLD_SOURCE = $(or $(TMPDIR),/tmp)/comfreythread-$(OLD)
GOLDEN_PACKAGES = control entry frame httptarget permit relay replica

.PHONY: golden old-source
# Takes the source of an earlier build from the repository's history.
old-source:
	rm -rf $(OLD_SOURCE)
	mkdir -p $(OLD_SOURCE)
	git archive $(OLD) | tar -x -C $(OLD_SOURCE)

# Writes the fixtures of the messages and stored types of build OLD.
golden: old-source
	cp -r internal/golden $(OLD_SOURCE)/internal/
	$(foreach package,$(GOLDEN_PACKAGES),cp internal/$(package)/golden_test.go $(OLD_SOURCE)/internal/$(package)/;)
	cp internal/control/stored_data_test.go $(OLD_SOURCE)/internal/control/
	cd $(OLD_SOURCE) && $(GO) test -p 2 $(addprefix ./internal/,$(GOLDEN_PACKAGES)) -count=1 -run '^Test(Encoding|Data)Of$(OLD)$$' -golden-write
	$(foreach package,$(GOLDEN_PACKAGES),mkdir -p internal/$(package)/testdata/golden && cp $(OLD_SOURCE)/internal/$(package)/testdata/golden/$(OLD).txt internal/$(package)/testdata/golden/;)
	rm -rf internal/control/testdata/stored/$(OLD)
	mkdir -p internal/control/testdata/stored
	cp -r $(OLD_SOURCE)/internal/control/testdata/stored/$(OLD) internal/control/testdata/stored/

.PHONY: upgrade
# Runs processes of build OLD and of this one beside each other: under faults, and with rolling restarts
# from one to the other and back.
upgrade: SEED := $(if $(filter file,$(origin SEED)),$(shell date +%s),$(SEED))
upgrade: build old-source
	cd $(OLD_SOURCE) && $(GO) build -o $(CURDIR)/bin/comfreythread-$(OLD) ./cmd/comfreythread
	$(GO) run ./internal/soak --seed $(SEED) --seeds $(SEEDS) --jobs $(JOBS) --span $(MINUTES)m --old-binary bin/comfreythread-$(OLD)
