# Commands of the project; README.md says what each one is for.

GO ?= go
BIN := $(CURDIR)/bin
TOOLS := $(CURDIR)/bin/tools
GOLANGCI_LINT_VERSION := v2.15.0
SEEDS ?= 200
SUITE ?= all
NODES ?= 330
SERVERS ?= 600
DURATION ?= 20s

export CGO_ENABLED = 1

.PHONY: build run run-platform fleet test crowd planned lint bench chaos scale fuzz generate tools gopls clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/rosestand-lab run --duration $(DURATION)

run-platform: build
	$(BIN)/rosestand-lab run-platform --duration $(DURATION)

fleet: build
	$(BIN)/rosestand-lab fleet

test:
	$(GO) test ./...

# Real processes before crowds of misbehaving clients, one test at a time; not part of test.
crowd:
	scripts/process-tests '^Test(Crowd|Largest)'

# Real processes that are stopped, restarted and reconfigured under callers that stay; not part of test.
planned:
	scripts/process-tests '^TestPlanned'

lint: tools
	test -z "$$($(TOOLS)/gofumpt -l cmd internal platform)" || { $(TOOLS)/gofumpt -d cmd internal platform; exit 1; }
	$(TOOLS)/golangci-lint run ./...
	$(GO) test -count=1 -run "^Test(Folder|Names|DecisionCheck)" ./platform
	scripts/packages check

bench: build
	$(BIN)/rosestand-lab bench

chaos: build
	$(BIN)/rosestand-lab sim --suite $(SUITE) --seeds $(SEEDS)

scale: build
	$(BIN)/rosestand-lab scale --nodes $(NODES) --servers $(SERVERS)

fuzz:
	scripts/fuzz

# protoc comes from the package protobuf-compiler; the generated code is committed, so a build needs neither.
generate: tools
	protoc -Iproto --plugin=protoc-gen-go=$(TOOLS)/protoc-gen-go --go_out=. \
		--go_opt=module=github.com/rosestand/rosestand proto/rosestand/v1/*.proto

tools:
	mkdir -p $(TOOLS)
	cd tools && $(GO) build -o $(TOOLS)/ tool
	test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

# gopls renames identifiers over the whole module, type-checked and tests included; neither build nor lint needs it.
gopls:
	mkdir -p $(TOOLS)
	cd tools/gopls && $(GO) build -o $(TOOLS)/ tool

clean:
	rm -rf $(BIN)
