# Targets to build, test and measure the program; make help lists them.
GO ?= go
GOLANGCI_VERSION := v2.15.0
BIN := $(CURDIR)/build
TOOL := $(GO) tool -modfile=tools/go.mod

.PHONY: help build test race lint fmt bench fuzz demo capacity measures clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the program
	$(GO) build -o $(BIN)/monsoonswitch .

# RED is a pattern of the tests that KNOWN-RED.txt lists.
RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
SKIP := $(if $(RED),-skip '^($(RED))$$')

# TIMEOUT is for one package. The tests with processes of the root package took 535 s beside other
# work, and go test ends a package after 600 s by itself.
TIMEOUT := -timeout 30m

test: ## run all tests but those of KNOWN-RED.txt, whose names are printed
	@echo "known red, passed over: $(if $(RED),$(RED),none)"
	$(GO) test $(TIMEOUT) $(SKIP) ./...

race: ## run the same tests with the race detector
	$(GO) test -race $(TIMEOUT) $(SKIP) ./...

$(BIN)/golangci-lint:
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(BIN)/golangci-lint ## check format, vet and linters
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "not formatted: run make fmt"; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...
	$(BIN)/golangci-lint run ./...

fmt: ## format the code
	$(TOOL) goimports -local monsoonswitch -w .

bench: ## run the benchmarks
	$(GO) test -run '^$$' -bench . -benchmem ./balancer ./decider ./allocator ./messenger ./server ./listener

fuzz: ## run each fuzz target for a short while
	@for t in declarer:FuzzParse configurer:FuzzParse messenger:FuzzDecode keeper:FuzzParseKey loader:FuzzParse forwarder:FuzzHeaders forwarder:FuzzAnswerHead storer:FuzzParseDocument listener:FuzzFraming; do \
		$(GO) test ./$${t%%:*} -run '^$$' -fuzz "^$${t##*:}$$" -fuzztime 10s || exit 1; \
	done

demo: ## run the demo
	$(GO) run . demo

capacity: build ## measure the slopes and write docs/CAPACITY.md anew
	$(BIN)/monsoonswitch capacity --write docs/CAPACITY.md

measures: build ## run every experiment of docs/MEASURES.md
	$(BIN)/monsoonswitch trial
	@for s in gray errors flap crest behind poison outage lost drain rolling gray-kilimo crest-kilimo behind-kilimo; do \
		$(BIN)/monsoonswitch load $$s || exit 1; \
	done

clean: ## remove what was built
	rm -rf $(BIN)
