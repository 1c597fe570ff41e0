GO ?= go
BIN := bin

.PHONY: build demo faults test check fmt generate capacity plots

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs moves under load with real processes on loopback; exits non-zero when a check fails.
demo: build
	$(BIN)/rattanfield-demo --bin $(BIN)

# Kills, freezes and isolates real processes under load; exits non-zero when a check fails.
faults: build
	$(BIN)/rattanfield-demo --faults --bin $(BIN) --timeout 5m

test:
	./.ci/test

check:
	@unformatted="$$($(GO) tool gofumpt -l $$(git ls-files '*.go' ':!gen/'))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) build ./...
	$(MAKE) test

fmt:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' ':!gen/')

generate:
	$(GO) tool -modfile=tools/go.mod buf lint
	$(GO) tool -modfile=tools/go.mod buf generate

# Measures how costs grow with the number of nodes, for docs/CAPACITY.md.
capacity: build
	$(BIN)/rattanfield-capacity --out docs/results

# Draws docs/plots and writes the fits docs/results/fits.md from docs/results.
plots: build
	$(BIN)/rattanfield-plot
