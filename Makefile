# Targets for developers and CI. `make check` is the whole verification.

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
PACKAGES = ./...
# The crowd tests measure memory and descriptors of processes. They run apart from other load.
CROWD = ./internal/crowdtest
TESTED = $$($(GO) list $(PACKAGES) | grep -v /internal/crowdtest$$)
# Tests listed in KNOWN-RED.txt are skipped and printed.
KNOWN_RED := $(shell awk -F'|' '!/^\#/ && NF > 1 { gsub(/ /, "", $$1); print $$1 }' KNOWN-RED.txt | paste -sd'|')
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)

.PHONY: setup check format lint build test race crowd known-red

setup: ## download modules and build the tools
	$(GO) mod download
	cd tools && $(GO) mod download && $(GO) build -o /dev/null tool 2>/dev/null || true

check: known-red format build ## everything that CI runs
	$(MAKE) --no-print-directory -j2 --output-sync=target lint test
	$(MAKE) --no-print-directory race
	$(MAKE) --no-print-directory crowd

known-red:
	@grep -v '^#' KNOWN-RED.txt || echo "known red: none"

format: ## fail on files that gofumpt would change
	@test -z "$$($(TOOL) gofumpt -l .)" || { $(TOOL) gofumpt -l .; echo "run: $(TOOL) gofumpt -w ."; exit 1; }

lint:
	$(GO) vet $(PACKAGES)
	$(TOOL) staticcheck $(PACKAGES)
	$(TOOL) errcheck -ignoretests $(PACKAGES)
	$(TOOL) revive -config tools/revive.toml -set_exit_status $(PACKAGES)

build:
	$(GO) build $(PACKAGES)

test:
	$(GO) test -timeout 15m $(SKIP) $(TESTED)

race:
	$(GO) test -race -timeout 20m $(SKIP) $(TESTED)

crowd:
	$(GO) test -count=1 -timeout 10m $(SKIP) $(CROWD)
